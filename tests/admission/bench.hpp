#ifndef BULRUSHSPRING_TESTS_ADMISSION_BENCH_HPP
#define BULRUSHSPRING_TESTS_ADMISSION_BENCH_HPP

#include "libraries/admission/admission.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

namespace bulrushspring::admission_test
{

// Two query services, quick-find (weight 4, deadline 300 ms) and export
// (weight 1, deadline 5 s), share a pool; the non-idempotent order-desk has its
// own.
inline manifest::manifest_pointer make_manifest()
{
    auto made = std::make_shared<manifest::manifest>();
    made->pools["symbols"].name = "symbols";
    made->pools["orders"].name = "orders";
    manifest::service find{"quick-find", manifest::service_kind::query,
                           "symbols", milliseconds{300}};
    find.weight = 4;
    made->services["quick-find"] = find;
    made->services["export"] = {"export", manifest::service_kind::query,
                                "symbols", milliseconds{5000}};
    made->services["order-desk"] = {"order-desk",
                                    manifest::service_kind::request, "orders",
                                    milliseconds{1000}};
    return made;
}

// The admission reducer with a manual clock.
struct bench {
    admission::options settings;
    admission::state state;
    manual_clock clock;
    manifest::manifest_pointer manifest = make_manifest();
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    std::uint64_t last_token = 0;
    shared_text body; // of all requests that are offered

    void start() { state = admission::make_state(settings, 7); }

    context at() { return {clock.now(), effects, last_identifier}; }

    caller_token offer(const std::string& service, const std::string& caller,
                       duration time_left = {}, std::uint32_t attempt = 1)
    {
        const auto token = static_cast<caller_token>(++last_token);
        caller_request request;
        request.kind = manifest->services.at(service).kind;
        request.service = service;
        request.caller = caller;
        request.id = "r" + std::to_string(last_token);
        request.time_left = time_left;
        request.caller_attempt = attempt;
        request.body = body;
        auto context = at();
        admission::offer(state, token, request, manifest, context);
        return token;
    }

    std::vector<admission::admitted> take()
    {
        auto context = at();
        return admission::take_admitted(state, context);
    }

    void finish(caller_token token,
                answer_status status = answer_status::answered,
                const std::string& reason = "")
    {
        caller_answer answer;
        answer.status = status;
        answer.reason = reason;
        auto context = at();
        admission::finished(state, token, answer, context);
    }

    void leave(caller_token token)
    {
        auto context = at();
        admission::reduce(state, caller_disconnected{token}, context);
    }

    void tick()
    {
        auto context = at();
        admission::reduce(state, bulrushspring::tick{}, context);
    }

    // The answers emitted so far, oldest first.
    std::vector<answer_caller> answers() const
    {
        std::vector<answer_caller> found;
        for (const auto& what : effects) {
            if (const auto* answer = std::get_if<answer_caller>(&what)) {
                found.push_back(*answer);
            }
        }
        return found;
    }
};

} // namespace bulrushspring::admission_test

#endif
