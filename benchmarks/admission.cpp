#include "libraries/admission/admission.hpp"

#include <benchmark/benchmark.h>

#include <malloc.h>

#include <memory>
#include <string>
#include <vector>

using namespace bulrushspring;

namespace
{

manifest::manifest_pointer make_manifest(int services)
{
    auto result = std::make_shared<manifest::manifest>();
    result->pools["index"].name = "index";
    for (int i = 0; i < services; ++i) {
        const auto name = "service-" + std::to_string(i);
        result->services[name] = {name, manifest::service_kind::query, "index",
                                  seconds{100}};
    }
    return result;
}

// Offers, admits and finishes one request while others are queued; the argument
// is the number of queued requests. There are eight services, and one caller
// per ten queued requests.
void admit_and_finish(benchmark::State& run)
{
    const auto queued = static_cast<std::uint64_t>(run.range(0));
    const auto manifest = make_manifest(8);
    admission::options settings;
    settings.max_queued = 2 * queued + 16;
    settings.max_queued_per_service = settings.max_queued;
    settings.max_queued_per_caller = settings.max_queued;
    settings.limits.initial_limit = 8;
    settings.limits.max_limit = 8;
    auto state = admission::make_state(settings, 1);
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    boot_time now{seconds{1000}};
    std::uint64_t last_number = 0;
    std::vector<caller_token> running;
    const auto offer = [&] {
        context at{now, effects, last_identifier};
        caller_request request;
        request.service = "service-" + std::to_string(last_number % 8);
        request.caller =
            "caller-" + std::to_string(last_number % (queued / 10 + 1));
        request.id = "request-" + std::to_string(last_number);
        admission::offer(state, static_cast<caller_token>(++last_number),
                         std::move(request), manifest, at);
    };
    const auto take_admitted_requests = [&] {
        context at{now, effects, last_identifier};
        for (const auto& one : admission::take_admitted(state, at)) {
            running.push_back(one.token);
        }
    };
    while (state.waiting.size() < queued) {
        offer();
        take_admitted_requests();
    }
    std::size_t next = 0;
    caller_answer answer;
    answer.status = answer_status::answered;
    for (auto _ : run) {
        now += milliseconds{1};
        offer();
        context at{now, effects, last_identifier};
        admission::finished(state, running[next++], answer, at);
        take_admitted_requests();
        effects.clear();
    }
    run.counters["queued"] = static_cast<double>(state.waiting.size());
}
BENCHMARK(admit_and_finish)->Arg(10)->Arg(1000)->Arg(10'000);

// Heap bytes per queued request without a body. The arguments are the number of
// queued requests in total and per caller.
void bytes_per_queued_request(benchmark::State& run)
{
    const auto queued = static_cast<std::uint64_t>(run.range(0));
    const auto per_caller = static_cast<std::uint64_t>(run.range(1));
    const auto manifest = make_manifest(1);
    for (auto _ : run) {
        admission::options settings;
        settings.max_queued = queued;
        settings.max_queued_per_service = queued;
        settings.limits.initial_limit = 0;
        auto state = admission::make_state(settings, 1);
        std::vector<effect> effects;
        std::uint64_t last_identifier = 0;
        context at{boot_time{seconds{1000}}, effects, last_identifier};
        const auto before = mallinfo2().uordblks;
        for (std::uint64_t i = 0; i < queued; ++i) {
            caller_request request;
            request.service = "service-0";
            request.caller = "caller-" + std::to_string(i / per_caller);
            request.id = "request-" + std::to_string(i);
            admission::offer(state, static_cast<caller_token>(i + 1),
                             std::move(request), manifest, at);
        }
        run.counters["bytes"] =
            static_cast<double>(mallinfo2().uordblks - before) /
            static_cast<double>(queued);
        run.counters["queued"] = static_cast<double>(state.waiting.size());
    }
}
BENCHMARK(bytes_per_queued_request)
    ->Args({8192, 1})
    ->Args({8192, 100})
    ->Iterations(1);

} // namespace
