#ifndef BULRUSHSPRING_FAKES_SITE_LEAF_HPP
#define BULRUSHSPRING_FAKES_SITE_LEAF_HPP

#include "base/random.hpp"
#include "fakes/limits/rate_check.hpp"
#include "libraries/http/server.hpp"

#include <functional>
#include <map>
#include <unordered_map>

namespace bulrushspring::site
{

// Number of executions of each request ID, over all leafs.
using run_counts = std::unordered_map<std::string, std::uint32_t>;

// The path of health checks, as the configuration states it.
inline constexpr std::string_view health_path = "/health";

struct leaf_options {
    std::string id;
    std::string service;
    endpoint address;
    std::string data_centre;
    std::uint32_t slots = 3;
    std::uint32_t queue = 18;        // requests that may wait for a slot
    duration work = milliseconds{5}; // mean service time
    // The service's `coldPerS`: requests a second that it takes from all
    // daemons together while it is cold; 0: any number.
    double cold_per_second = 0;
};

// Injected faults. All but the last are the share of requests, from 0 to 1,
// that the fault is applied to.
struct leaf_faults {
    double refuse = 0;      // refused without execution
    double lose = 0;        // executed, connection closed without an answer
    double fail = 0;        // executed, answered with status 500
    double truncate = 0;    // executed, second half of the answer missing
    double repeat = 0;      // executed, answer sent twice
    double slow_factor = 1; // multiplies the service time
    // A request for this target ends the leaf's process while it runs.
    std::string poison_target;
    // The requests a second that it states to take from all daemons together;
    // 0: no limit.
    double rate_limit = 0;
};

// A simulated leaf that serves one service over HTTP.
class leaf
{
public:
    leaf(event_base* base, leaf_options options, run_counts& runs,
         std::uint64_t seed);

    const leaf_options& options() const { return options_; }
    leaf_faults faults;
    std::size_t arrivals() const { return arrivals_; }
    boot_time last_arrival() const { return last_arrival_; }
    // The most requests beyond the stated limit that have arrived within the
    // users' window, from their grace time after it was first stated. Up to
    // half of the limit more and some requests are allowed.
    std::size_t arrivals_over_limit() const { return rate_.excess; }
    // The most requests in a second while it was cold, and the most beyond
    // what is allowed, one and a half times `cold_per_second` and five.
    std::size_t cold_arrivals() const { return cold_rate_.most; }
    std::size_t arrivals_over_cold_rate() const { return cold_rate_.excess; }
    std::size_t connections() const
    {
        return server_ ? server_->connections() : 0;
    }

    // Whether its process has ended: it accepts no connections.
    bool crashed() const { return server_ == nullptr; }
    // Whether it runs a request, or one waits for a slot.
    bool busy() const { return !running_.empty() || !queued_.empty(); }
    // Ends its process, with the requests that it runs.
    void stop();
    // Starts it again under its id, as another process, which is cold for the
    // given time.
    void restart(duration cold = duration{0});
    // How long it stays cold; 0 if it is not.
    duration cold_remaining() const;

    // The JSON description that the store publishes for this leaf.
    std::string published(bool draining) const;

private:
    struct job {
        leaf* owner;
        caller_token token;
        http::request request;
        shell::event_handle done;
    };

    void listen();
    void handle_request(caller_token token, http::request request);
    void refuse(caller_token token, unsigned status);
    // Adds the headers that all answers of the leaf have.
    void state_limit(http::response& answer) const;
    void check_limit();
    void check_cold_rate();
    void start_queued();
    void send_answer(const job& done);
    static void on_work_done(evutil_socket_t socket, short events,
                             void* argument);
    static void on_crash(evutil_socket_t socket, short events, void* argument);

    event_base* base_;
    leaf_options options_;
    run_counts& runs_;
    random_source random_;
    std::unique_ptr<http::server> server_;
    shell::event_handle crash_;
    std::int64_t born_ = 1; // rises with each start
    std::vector<std::unique_ptr<job>> running_;
    std::vector<std::unique_ptr<job>> queued_;
    std::size_t arrivals_ = 0;
    boot_time last_arrival_{};
    boot_time limited_since_{};
    double limit_checked_ = 0; // the limit that limited_since_ belongs to
    rate_check rate_;
    boot_time cold_since_{};
    boot_time cold_until_{};
    rate_check cold_rate_{duration{0}, seconds{1}};
};

// The signature and bodies of correct answers. Leafs send them and callers
// compute them again to verify what they receive.
std::string signature_of(const std::string& service,
                         const std::string& request_id);
std::string single_body(const std::string& service,
                        const http::request& request);
// The answer of a shard: records of 16 bytes each, then an incomplete record
// that a merge has to leave out.
std::string shard_body(const std::string& service, std::string_view target);

} // namespace bulrushspring::site

#endif
