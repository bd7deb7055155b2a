#ifndef BULRUSHSPRING_LIBRARIES_SHELL_LEAF_CLIENT_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_LEAF_CLIENT_HPP

#include "libraries/http/client.hpp"
#include "libraries/reducer/effect.hpp"
#include "libraries/shell/sink.hpp"

#include <optional>
#include <unordered_map>

namespace bulrushspring::shell
{

// HTTP connections to leafs. Each carries one request, probe or cancellation at
// a time, as the reducer directs. The end of a connection, whatever its cause,
// is posted once as connection_closed, after leaf_failed for the attempt that
// was in progress on it. What leafs send is bounded, and charged to the sink's
// account.
class leaf_client
{
public:
    // Attempt names begin with the prefix, which makes them unique in the
    // fleet: it holds the VM's name and the daemon's incarnation.
    leaf_client(event_base* base, std::string attempt_prefix, sink out);
    leaf_client(const leaf_client&) = delete;
    leaf_client& operator=(const leaf_client&) = delete;
    ~leaf_client();

    void carry_out(const open_connection& effect);
    void carry_out(const close_connection& effect);
    void carry_out(const probe_connection& effect);
    void carry_out(const send_to_leaf& effect);
    void carry_out(const cancel_at_leaf& effect);

    // Adds the unfinished answers that can be dropped, with `holder` as their
    // holder.
    void list_candidates(std::vector<memory::candidate>& all,
                         std::uint32_t holder) const
    {
        http_.list_candidates(all, holder);
    }
    // Fails the connection of a candidate.
    void drop(const memory::candidate& what) { http_.drop(what); }
    // Stops or resumes reading large answers to non-idempotent requests, which
    // may not be dropped.
    void pause_unrepeatable(bool paused) { http_.pause_unrepeatable(paused); }

private:
    enum class exchange_kind : std::uint8_t { none, probe, work, cancellation };

    struct connection {
        leaf_client* owner = nullptr;
        connection_id id{};
        std::string leaf;
        exchange_kind exchange = exchange_kind::none; // in progress
        attempt_id attempt{};                         // of the work in progress
        bool opened = false;  // the first probe was answered
        bool reusable = true; // the leaf has not closed it with its answer
        // Of a probe or a cancellation; the reducer limits work.
        event_handle timeout;
        // Effects that wait for a cancellation on the connection to finish.
        std::optional<send_to_leaf> deferred_work;
        std::optional<probe_connection> deferred_probe;
    };

    static void on_timeout(evutil_socket_t socket, short what, void* argument);

    connection* find(connection_id id);
    // Ends the connection if nothing is answered within the limit.
    void limit_time(connection& of, duration limit);
    void send_probe(connection& to, duration timeout);
    void send_work(connection& to, const send_to_leaf& effect);
    // Sends the effect that waited for a cancellation, if there is one.
    void send_deferred(connection& to);
    void handle_answer(connection_id id, http::response answer, bool reusable);
    void handle_probe_answer(connection& from, const http::response& answer);
    void handle_work_answer(connection& from, http::response answer);
    void handle_cancel_answer(connection& from);
    // Removes the connection and posts its failure.
    void fail(connection& failed, errc code, std::string detail);
    void fail(connection& failed, const error& cause);
    std::string attempt_name(attempt_id attempt) const;

    event_base* base_;
    std::string attempt_prefix_;
    sink sink_;
    std::unordered_map<connection_id, std::unique_ptr<connection>> open_;
    http::client http_;
};

} // namespace bulrushspring::shell

#endif
