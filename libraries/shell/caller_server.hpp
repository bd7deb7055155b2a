#ifndef BULRUSHSPRING_LIBRARIES_SHELL_CALLER_SERVER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_CALLER_SERVER_HPP

#include "libraries/http/server.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/shell/sink.hpp"

#include <functional>
#include <unordered_map>

namespace bulrushspring::shell
{

// The HTTP server for callers. It posts each request as an event and sends the
// reducer's answers as replies. docs/CALLERS.md specifies the interface.
class caller_server
{
public:
    // Binds the address and starts to accept connections. Fails with the
    // system's error if the address can't be bound.
    static result<std::unique_ptr<caller_server>>
    listen(event_base* base, const endpoint& address, sink out);

    endpoint address() const { return server_->address(); }
    void carry_out(const answer_caller& effect);
    void carry_out(const answer_addresses& effect);

    // Closes each connection after its next answer, so that callers move on
    // to another entry.
    void close_after_answers() { server_->close_after_answers(); }

    // Calls `finished` once the requests that have arrived are answered and the
    // answers sent. A caller that doesn't read its answer delays it until the
    // idle timeout.
    void finish(std::function<void()> finished);

    // Adds what can be dropped here, with `holder` as its holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder, boot_time now) const;
    // Drops a candidate; `silently` without an answer.
    void drop(const memory::candidate& what, bool silently);

private:
    explicit caller_server(sink out) : sink_(std::move(out)) {}
    // A request that awaits its answer. The server's tokens stand for
    // connections, those of the reducer for requests.
    struct pending_request {
        caller_token connection;
        bool repeatable = true; // the answer can be had again
    };

    void route(caller_token connection, http::request message);
    void handle_request(caller_token connection, std::string body,
                        result<caller_request> parsed);
    void handle_disconnect(caller_token connection);
    caller_token add_pending(caller_token connection, bool repeatable);
    // Removes a request; nothing if its caller has disconnected.
    std::optional<pending_request> take_pending(caller_token token);
    void answer(const pending_request& to, const caller_answer& answer);

    sink sink_;
    std::unique_ptr<http::server> server_;
    std::uint64_t last_token_ = 0;
    std::unordered_map<caller_token, pending_request> pending_;
    std::unordered_map<caller_token, caller_token> by_connection_;
};

} // namespace bulrushspring::shell

#endif
