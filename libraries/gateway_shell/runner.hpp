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
    endpoint callers;   // takes callers' requests
    endpoint readiness; // says whether callers should be sent here
    endpoint peers;     // other daemons, UDP and TCP
    endpoint directory; // tells callers which daemons to use
    endpoint metrics;
    std::vector<endpoint> seeds;
    gateway::options gateway;
};

using post_function = std::function<void(gateway::any_event)>;
// Carries out calls to the store and posts their outcome.
using store_function = std::function<void(const topology::store_call&)>;
using make_store_function =
    std::function<store_function(event_base*, post_function)>;

// One daemon: the gateway's state and the sockets around it. It takes events
// in, one after the other, and carries the effects out.
class runner
{
public:
    // Opens all sockets. Nothing is sent before run.
    static result<std::unique_ptr<runner>>
    start(const settings& settings, const protocol& spoken,
          const make_store_function& make_store, const clock& time);

    // Runs until a planned stop is complete.
    void run();

    void stop() { post(stop_requested{}); }
    // Takes settings that have changed. Names and addresses stay.
    void apply(const settings& changed);
    // Tells in the log what became of settings that were read again.
    void note_settings(std::string_view outcome, std::string_view detail);
    event_base* base() { return base_.get(); }
    const gateway::state& state() const { return *state_; }

private:
    runner(const protocol& spoken, const clock& time);
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
    http::response answer_readiness(const http::request& asked);
    http::response answer_metrics(const http::request& asked);
    void take_request(caller_token token, http::request message);
    void post(gateway::any_event what);
    void post_from_peer(event what);
    void take_records(const peer_replied& event);
    void reject(const error& cause);
    void drain();
    void carry_out(gateway::effect& what);
    void carry_out_shared(effect& what);
    void arm_timer();
    static void notice_time(evutil_socket_t socket, short what, void* self);

    const clock& clock_;
    settings settings_; // as at the start
    protocol protocol_;
    shell::base_handle base_;
    metrics::registry metrics_;
    log_writer log_;
    std::unique_ptr<gateway::state> state_;
    std::unique_ptr<http::server> callers_;
    std::unique_ptr<http::server> readiness_;
    std::unique_ptr<http::server> directory_;
    std::unique_ptr<http::server> metrics_page_;
    std::unique_ptr<http::client> leafs_;
    std::unique_ptr<shell::peer_datagrams> datagrams_;
    std::unique_ptr<shell::peer_streams> streams_;
    store_function store_;
    shell::event_handle timer_;
    std::deque<gateway::any_event> pending_;
    std::vector<gateway::effect> effects_;
    std::vector<effect> shared_effects_;
    std::uint64_t last_identifier_ = 0;
    bool draining_ = false;
    boot_time armed_for_{};
};

} // namespace bulrushspring::gateway_shell

#endif
