#include "tests/admission/bench.hpp"

#include <boost/test/unit_test.hpp>
#include <rapidcheck/boost_test.h>

#include <map>
#include <set>

using namespace bulrushspring;
using namespace bulrushspring::admission_test;

namespace
{

constexpr const char* services[] = {"quick-find", "export", "order-desk"};
constexpr std::size_t max_queued = 12;

// A random sequence of offered and finished requests, closed caller connections
// and clock advances, which tracks the state of each request.
class request_sequence
{
public:
    request_sequence()
    {
        bench_.settings.max_queued = max_queued;
        bench_.settings.limits.initial_limit = 3.0;
        bench_.settings.limits.min_samples = 2;
        bench_.start();
    }

    void take(std::uint32_t step)
    {
        const auto choice = step / 8;
        switch (step % 8) {
        case 0:
        case 1:
        case 2:
            offered_.insert(bench_.offer(services[choice % 3],
                                         std::to_string(choice % 5),
                                         milliseconds{choice % 400}));
            break;
        case 3:
        case 4:
            finish(choice);
            break;
        case 5:
            leave(choice);
            break;
        case 6:
            bench_.tick();
            break;
        default:
            bench_.clock.advance(milliseconds{choice % 150});
            break;
        }
        process_effects();
        check();
    }

    // Finishes all requests and checks that no state remains.
    void finish_all()
    {
        while (!running_.empty()) {
            finish(0);
            process_effects();
        }
        bench_.clock.advance(seconds{10});
        bench_.tick();
        process_effects();
        const auto& state = bench_.state;
        RC_ASSERT(state.waiting.empty());
        RC_ASSERT(state.running.empty());
        RC_ASSERT(state.expiry.empty());
        RC_ASSERT(state.queued_bytes == 0U);
        RC_ASSERT(offered_.size() == ended_.size());
        for (const auto& pool : state.pools) {
            RC_ASSERT(pool.limit.in_flight == 0U);
            RC_ASSERT(pool.turns.backlogged.empty());
        }
    }

private:
    bench bench_;
    std::set<caller_token> offered_;
    std::set<caller_token> running_;
    std::set<caller_token> ended_; // refused, finished, or connection closed

    caller_token pick(const std::set<caller_token>& from, std::uint32_t choice)
    {
        return *std::next(from.begin(),
                          static_cast<std::ptrdiff_t>(choice % from.size()));
    }

    void finish(std::uint32_t choice)
    {
        if (running_.empty()) {
            return;
        }
        const auto token = pick(running_, choice);
        running_.erase(token);
        ended_.insert(token);
        const bool success = choice % 3 != 0;
        bench_.finish(
            token, success ? answer_status::answered : answer_status::refused,
            success ? "" : "shed");
    }

    void leave(std::uint32_t choice)
    {
        if (offered_.empty()) {
            return;
        }
        const auto token = pick(offered_, choice);
        const bool was_running = running_.contains(token);
        bench_.leave(token);
        const bool continues =
            was_running && bench_.state.running.contains(token);
        if (!continues) {
            running_.erase(token);
            ended_.insert(token);
        }
    }

    void process_effects()
    {
        for (const auto& one : bench_.take()) {
            RC_ASSERT(offered_.contains(one.token));
            RC_ASSERT(!ended_.contains(one.token));
            RC_ASSERT(running_.insert(one.token).second);
            RC_ASSERT(one.request.time_left > duration{0});
        }
        for (const auto& one : bench_.answers()) {
            RC_ASSERT(!running_.contains(one.token));
            RC_ASSERT(ended_.insert(one.token).second);
            RC_ASSERT(one.answer.retry_after > duration{0});
        }
        for (const auto& what : bench_.effects) {
            if (const auto* line = std::get_if<write_log>(&what)) {
                check_fields(line->record);
            }
        }
        bench_.effects.clear();
    }

    // A log line must have exactly the fields of its event definition.
    static void check_fields(const log_record& line)
    {
        std::string fields;
        for (const auto& one : line.fields) {
            fields += (fields.empty() ? "" : " ") + std::string(one.key);
        }
        RC_ASSERT(fields == line.definition->fields);
    }

    void check() const
    {
        const auto& state = bench_.state;
        RC_ASSERT(state.waiting.size() <= max_queued);
        RC_ASSERT(state.expiry.size() == state.waiting.size());
        RC_ASSERT(admission::next_wakeup(state) > bench_.clock.now());
        std::map<std::uint32_t, std::uint32_t> in_flight;
        for (const auto& [token, one] : state.running) {
            ++in_flight[state.services[one.service].pool];
        }
        for (std::uint32_t i = 0; i < state.pools.size(); ++i) {
            const auto& pool = state.pools[i];
            RC_ASSERT(pool.limit.in_flight == in_flight[i]);
            RC_ASSERT(pool.limit.limit >= 1.0);
            // No request is queued while its pool has capacity.
            RC_ASSERT(pool.turns.backlogged.empty() ||
                      !admission::has_room(pool.limit));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(properties)

RC_BOOST_PROP(each_request_ends_once_and_no_state_remains, ())
{
    const auto steps =
        *rc::gen::resize(300, rc::gen::container<std::vector<std::uint32_t>>(
                                  rc::gen::inRange<std::uint32_t>(0, 100'000)));
    request_sequence sequence;
    for (const auto step : steps) {
        sequence.take(step);
    }
    sequence.finish_all();
}

BOOST_AUTO_TEST_SUITE_END()
