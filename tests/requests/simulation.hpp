#ifndef BULRUSHSPRING_TESTS_REQUESTS_SIMULATION_HPP
#define BULRUSHSPRING_TESTS_REQUESTS_SIMULATION_HPP

#include "libraries/admission/admission.hpp"
#include "libraries/requests/requests.hpp"
#include "libraries/targets/targets.hpp"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

// Simulates a few daemons, whose reducers are connected as the node connects
// them. The test decides what leafs and connections do and moves the clock.
namespace bulrushspring::requests_test
{

// A request that a daemon sent to a leaf.
struct message {
    std::size_t daemon = 0;
    incarnation_number incarnation = 0;
    send_to_leaf what;
    bool consumed = false; // executed, refused, or failed before it was sent
    bool ended = false;    // the daemon got its answer or a connection error
};

// One attempt of a caller's request, and the answers to it.
struct caller_attempt {
    std::size_t daemon = 0;
    incarnation_number incarnation = 0;
    caller_request request;
    bool left = false;
    std::vector<caller_answer> answers;
};

struct daemon {
    std::string name;
    incarnation_number incarnation = 1;
    targets::state targets;
    requests::state requests;
    admission::state admission;
    bool suspended = false;
    std::deque<event> inbox; // events received while suspended
    std::uint64_t last_identifier = 0;
    std::string grant; // the one that callers use
};

class simulation
{
public:
    explicit simulation(std::size_t daemons = 2,
                        const requests::options& settings = {},
                        double concurrency_limit = 64);

    boot_time now{seconds{1000}};
    requests::options settings;
    admission::options admission_settings;
    std::vector<daemon> daemons;
    std::deque<message> messages;
    std::map<std::uint64_t, caller_attempt> caller_attempts; // by token
    std::map<std::string, int> executions;                   // by body
    std::vector<log_record> log;
    std::size_t cancelled = 0; // attempts that daemons cancelled at leafs
    manifest::manifest_pointer manifest;
    std::vector<std::string> violations; // of invariants

    // Sends a request through a daemon, with that daemon's grant unless the
    // request has one. Returns its token.
    std::uint64_t submit(std::size_t to, caller_request request);
    caller_request make_request(const std::string& caller,
                                const std::string& id,
                                std::uint32_t attempt_number = 1) const;
    std::uint64_t repeat(std::size_t to, std::uint64_t token);
    void disconnect_caller(std::uint64_t token);
    void renew_grant(std::size_t of);

    void run(duration span);
    void suspend(std::size_t which);
    void resume(std::size_t which);
    void restart(std::size_t which);
    void change_manifest(std::uint32_t shards, manifest::snapshot_id snapshot);
    void change_manifest(manifest::manifest_pointer next);

    // Behaviour of a leaf or the network for a message.
    leaf_answer answer_to(const message& sent) const;
    void execute(message& sent, bool answer = true);
    void refuse(message& sent, leaf_status status);
    void lose_connection(message& sent);
    void fail_before_sending(message& sent);
    void deliver_answer(const message& on, leaf_answer answer);

    const caller_answer& answer_of(std::uint64_t token) const;
    std::size_t count_logged(std::string_view name) const;

private:
    std::uint64_t last_token_ = 0;
    std::vector<effect> effects_;

    void start(daemon& started);
    void deliver(std::size_t to, const event& what);
    void reduce(std::size_t in, const event& what);
    void apply_effects(std::size_t in);
    void apply_effect(std::size_t in, const effect& what);
    context context_of(daemon& in);
    void check_fields(const log_record& line);
};

} // namespace bulrushspring::requests_test

#endif
