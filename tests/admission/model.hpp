#ifndef BULRUSHSPRING_TESTS_ADMISSION_MODEL_HPP
#define BULRUSHSPRING_TESTS_ADMISSION_MODEL_HPP

#include "tests/admission/bench.hpp"

#include <cmath>
#include <deque>
#include <map>
#include <queue>
#include <unordered_map>

namespace bulrushspring::admission_test
{

// Open-loop load: requests arrive at random times, independently of the answers
// to earlier ones.
struct request_stream {
    std::string service;
    std::string caller;
    double rate = 0;    // requests/s
    duration demand{0}; // mean execution time
};

struct request_counts {
    std::uint64_t offered = 0;
    std::uint64_t good = 0; // answered within the deadline
    std::uint64_t refused = 0;
    std::vector<duration> waits; // queueing times of admitted requests
};

inline double p99_milliseconds(std::vector<duration> values)
{
    if (values.empty()) {
        return 0.0;
    }
    std::sort(values.begin(), values.end());
    const auto at = values.size() * 99 / 100;
    return static_cast<double>(values[at].count()) / 1e6;
}

// Simulates servers behind the admission reducer with a manual clock. They
// serve requests in order of arrival, and also expired ones, as a target does
// that ignores deadlines. At its deadline a request is answered "timed_out"
// while its execution continues.
class model
{
public:
    model(bench& subject, std::size_t servers)
        : subject_(subject), free_(servers)
    {
    }

    std::map<std::string, request_counts>
    run(std::vector<request_stream> streams, seconds span)
    {
        const auto end = subject_.clock.now() + span;
        std::vector<boot_time> next;
        for (const auto& one : streams) {
            next.push_back(subject_.clock.now() + draw_interval(one));
        }
        while (subject_.clock.now() < end) {
            const auto first = std::min_element(next.begin(), next.end());
            const auto wakeup = admission::next_wakeup(subject_.state);
            const auto now = std::min({*first, next_event(), wakeup});
            subject_.clock.advance(now - subject_.clock.now());
            if (now == wakeup) {
                subject_.tick();
            }
            if (now == *first) {
                const auto& from = streams[first - next.begin()];
                arrive(from);
                *first = now + draw_interval(from);
            }
            process(now);
        }
        return counts_;
    }

private:
    struct job {
        std::string caller;
        boot_time offered;
        boot_time deadline;
        duration demand{0};
        bool expired = false; // was answered "timed_out" at its deadline
    };

    enum class event_kind { served, deadline };
    struct timed_event {
        boot_time when;
        event_kind what;
        caller_token token;

        bool operator>(const timed_event& other) const
        {
            return when > other.when;
        }
    };

    duration draw_interval(const request_stream& from)
    {
        const double fraction = 1.0 - random_fraction(random_);
        return duration{
            static_cast<std::int64_t>(-std::log(fraction) / from.rate * 1e9)};
    }

    boot_time next_event() const
    {
        return events_.empty() ? boot_time::max() : events_.top().when;
    }

    void arrive(const request_stream& from)
    {
        ++counts_[from.caller].offered;
        const auto token = subject_.offer(from.service, from.caller);
        const auto share = 0.5 + random_fraction(random_);
        jobs_[token] = {from.caller,
                        subject_.clock.now(),
                        {},
                        duration{static_cast<std::int64_t>(
                            static_cast<double>(from.demand.count()) * share)}};
    }

    void process(boot_time now)
    {
        while (next_event() <= now) {
            const auto event = events_.top();
            events_.pop();
            event.what == event_kind::served ? served(event.token)
                                             : timed_out(event.token);
        }
        for (const auto& one : subject_.take()) {
            auto& admitted = jobs_.at(one.token);
            admitted.deadline = now + one.request.time_left;
            counts_[admitted.caller].waits.push_back(now - admitted.offered);
            events_.push({admitted.deadline, event_kind::deadline, one.token});
            server_queue_.push_back(one.token);
        }
        for (; free_ > 0 && !server_queue_.empty();
             --free_, server_queue_.pop_front()) {
            events_.push({now + jobs_.at(server_queue_.front()).demand,
                          event_kind::served, server_queue_.front()});
        }
        for (const auto& answer : subject_.answers()) {
            ++counts_[jobs_.at(answer.token).caller].refused;
            jobs_.erase(answer.token);
        }
        subject_.effects.clear();
    }

    void served(caller_token token)
    {
        ++free_;
        const auto ended = jobs_.at(token);
        jobs_.erase(token);
        if (ended.expired) {
            return;
        }
        ++counts_[ended.caller].good;
        subject_.finish(token);
    }

    void timed_out(caller_token token)
    {
        const auto found = jobs_.find(token);
        if (found == jobs_.end()) {
            return;
        }
        found->second.expired = true;
        subject_.finish(token, answer_status::failed, "timed_out");
    }

    bench& subject_;
    random_source random_{11};
    std::size_t free_;
    std::unordered_map<caller_token, job> jobs_;
    std::deque<caller_token> server_queue_;
    std::priority_queue<timed_event, std::vector<timed_event>, std::greater<>>
        events_;
    std::map<std::string, request_counts> counts_;
};

} // namespace bulrushspring::admission_test

#endif
