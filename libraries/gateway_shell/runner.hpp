#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_RUNNER_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_RUNNER_HPP

#include "libraries/gateway/gateway.hpp"
#include "libraries/gateway_shell/protocol.hpp"
#include "libraries/http/client.hpp"
#include "libraries/http/server.hpp"
#include "libraries/log/writer.hpp"
#include "libraries/shell/peer_datagrams.hpp"
#include "libraries/shell/peer_streams.hpp"

#include <deque>

namespace bulrushspring::gateway_shell
{

struct settings {
    std::string name;
    std::string data_centre;
    std::string region;
    endpoint callers;   // serves callers' requests
    endpoint readiness; // serves the readiness check
    endpoint peers;     // traffic between daemons, UDP and TCP
    endpoint directory; // serves the list of daemons to callers
    endpoint metrics;
    std::vector<endpoint> seeds;
    gateway::options gateway;
    std::uint64_t memory_bytes = 0; // that the process may use; 0: no limit
};

using post_function = std::function<void(gateway::any_event)>;
// Starts a call to the store, whose outcome is posted as an event.
using store_function = std::function<void(const topology::store_call&)>;
using make_store_function =
    std::function<store_function(event_base*, post_function)>;

// One daemon: the gateway's state, its sockets and its timer. Passes events to
// the gateway's reducer one after the other and carries out their effects.
class runner
{
public:
    // Opens all sockets; nothing is sent before run. Fails if an address can't
    // be bound. The account gets its limits, and must outlive the runner.
    static result<std::unique_ptr<runner>>
    start(const settings& settings, const protocol& protocol,
          const make_store_function& make_store, const clock& time,
          memory::account& account);

    // Runs the event loop until a planned stop is complete.
    void run();

    void stop() { post(stop_requested{}); }
    // Applies changed settings. Changed names and addresses take effect at the
    // next start.
    void apply(const settings& changed);
    // Logs the outcome of reloading the settings file.
    void log_settings_outcome(std::string_view outcome,
                              std::string_view detail);
    event_base* base() { return base_.get(); }
    const gateway::state& state() const { return *state_; }

private:
    runner(const protocol& protocol, const clock& time,
           memory::account& account);
    result<void> open(const settings& settings);
    void make_state(const settings& settings);
    result<std::unique_ptr<http::server>>
    serve(const endpoint& address,
          http::response (runner::*answer)(const http::request&));
    result<std::unique_ptr<http::server>>
    serve_directory(const endpoint& address);
    result<std::unique_ptr<http::server>>
    serve_callers(const endpoint& address);
    std::unique_ptr<http::client> make_leaf_client();
    void set_up_memory(const settings& settings);
    void reclaim_memory();
    std::vector<memory::candidate> list_candidates() const;
    void drop(const memory::candidate& what, bool silently);
    void set_exhausted(bool exhausted);
    void review_memory();
    http::response answer_readiness(const http::request& asked);
    http::response answer_metrics(const http::request& asked);
    void handle_request(caller_token token, http::request message);
    void post(gateway::any_event what);
    void post_from_peer(event what);
    void handle_records(const peer_reply_received& event);
    void log_rejected_input(const error& cause);
    void handle_pending();
    void carry_out(gateway::effect& what);
    void carry_out_shared(effect& what);
    // Ends the event loop once all servers have sent their answers, or after
    // the time limit.
    void end(duration time_limit);
    void schedule_timer();
    static void on_timer(evutil_socket_t socket, short what, void* self);

    const clock& clock_;
    settings settings_; // at the start
    protocol protocol_;
    memory::account& account_;
    shell::base_handle base_;
    metrics::registry metrics_;
    log_writer log_;
    std::unique_ptr<gateway::state> state_;
    std::unique_ptr<http::server> caller_server_;
    std::unique_ptr<http::server> readiness_server_;
    std::unique_ptr<http::server> directory_server_;
    std::unique_ptr<http::server> metrics_server_;
    std::unique_ptr<http::client> leaf_client_;
    std::unique_ptr<shell::peer_datagrams> peer_datagrams_;
    std::unique_ptr<shell::peer_streams> peer_streams_;
    store_function call_store_;
    shell::event_handle timer_;
    std::deque<gateway::any_event> pending_;
    std::vector<gateway::effect> effects_;
    std::vector<effect> shared_effects_;
    std::vector<caller_token> dropped_requests_;
    boot_time memory_reviewed_at_{};
    std::uint64_t last_identifier_ = 0;
    bool handling_ = false;
    boot_time timer_due_at_{};
};

} // namespace bulrushspring::gateway_shell

#endif
