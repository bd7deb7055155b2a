#ifndef BULRUSHSPRING_LIBRARIES_SHELL_PLATFORM_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_PLATFORM_CLIENT_HPP

#include "libraries/http/client.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/shell/sink.hpp"

#include <unordered_map>

namespace bulrushspring::shell
{

// Reads values from the platform. Each read uses a connection of its own. What
// the platform sends is bounded, and charged to the sink's account.
class platform_client
{
public:
    platform_client(event_base* base, const endpoint& address, sink out);

    // Starts a read; its outcome is posted as platform_read_finished. With a
    // wait, the platform holds the request until the value changes or the wait
    // ends.
    void carry_out(const read_platform& effect);

    // Adds the unfinished answers, with `holder` as their holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder) const
    {
        http_.list_candidates(all, holder);
    }
    // Fails the read of a candidate.
    void drop(const memory::candidate& what) { http_.drop(what); }

private:
    struct pending_read {
        platform_client* owner = nullptr;
        connection_id connection{};
        read_platform what;
        bool sent = false;
        event_handle timeout;
    };

    static void on_timeout(evutil_socket_t socket, short what, void* argument);
    void send(pending_read& read);
    result<std::optional<platform_value>>
    read_answer(http::response answer, const pending_read& from) const;
    error failure(std::error_code code, std::string detail) const;
    void finish(connection_id connection,
                result<std::optional<platform_value>> value);

    event_base* base_;
    endpoint address_;
    sink sink_;
    std::uint64_t last_connection_ = 0;
    std::unordered_map<connection_id, std::unique_ptr<pending_read>> reads_;
    http::client http_;
};

} // namespace bulrushspring::shell

#endif
