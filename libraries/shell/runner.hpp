#ifndef BULRUSHSPRING_LIBRARIES_SHELL_RUNNER_HPP
#define BULRUSHSPRING_LIBRARIES_SHELL_RUNNER_HPP

#include "libraries/node/node.hpp"
#include "libraries/settings/settings.hpp"
#include "libraries/shell/caller_server.hpp"
#include "libraries/shell/leaf_client.hpp"
#include "libraries/shell/operator_server.hpp"
#include "libraries/shell/peer_datagrams.hpp"
#include "libraries/shell/peer_streams.hpp"
#include "libraries/shell/platform_client.hpp"

#include <deque>

namespace bulrushspring::shell
{

// A daemon process: the reducer's state and the sockets around it. It passes
// events to the reducer one at a time and executes the resulting effects.
class runner
{
public:
    // Opens all sockets. Nothing is sent before `run`.
    static result<std::unique_ptr<runner>>
    start(const settings::daemon_settings& settings, const clock& time);

    // Runs the event loop until the graceful shutdown is complete.
    void run();

    // Begins the graceful shutdown. Further calls have no effect.
    void stop() { post(stop_requested{}); }

    const node::state& state() const { return *node_; }
    event_base* base() { return base_.get(); }

private:
    explicit runner(const clock& time);
    result<void> open(const settings::daemon_settings& settings);
    void make_node(const settings::daemon_settings& settings);
    sink make_sink();
    void post(event what);
    void reject(const error& cause);
    // Processes queued events until none are left.
    void process_pending();
    void arm_timer();
    void carry_out(effect& what);
    void carry_out_other(const effect& what);
    void set_up_memory(std::uint64_t process_bytes);
    std::vector<memory::candidate> list_candidates() const;
    void drop(const memory::candidate& what, bool silently);
    // Drops what exceeds the memory account.
    void reclaim_memory();
    void review_memory();
    static void on_timer(evutil_socket_t socket, short what, void* self);

    const clock& clock_;
    base_handle base_;
    metrics::registry metrics_;
    memory::account account_;
    boot_time memory_reviewed_at_{};
    // Chosen by the reclaim in progress.
    std::vector<caller_token> dropped_queries_;
    std::unique_ptr<node::state> node_;
    std::unique_ptr<caller_server> callers_;
    std::unique_ptr<operator_server> operators_;
    std::unique_ptr<leaf_client> leafs_;
    std::unique_ptr<platform_client> platform_;
    std::unique_ptr<peer_datagrams> datagrams_;
    std::unique_ptr<peer_streams> streams_;
    event_handle timer_;
    std::deque<event> pending_;
    std::vector<effect> effects_;
    std::uint64_t last_identifier_ = 0;
    bool processing_ = false;
    boot_time armed_for_{};
};

} // namespace bulrushspring::shell

#endif
