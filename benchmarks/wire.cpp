// Encoded sizes of the messages between daemons, and the cost of encoding and
// decoding them.

#include "libraries/wire/datagram.hpp"
#include "libraries/wire/frame.hpp"

#include <benchmark/benchmark.h>

using namespace bulrushspring;

namespace
{

wire::member_record typical_record(std::size_t index)
{
    const endpoint peer{0x0A000000U + static_cast<std::uint32_t>(index), 7002};
    return {"entry-" + std::to_string(index),
            "kl-1",
            "kl",
            peer,
            {peer.address, 7001},
            {peer.address, 7003},
            1'790'000'000'000,
            0,
            wire::member_status::alive};
}

wire::digest typical_digest()
{
    return {70000, hash_content("index"), 900000, hash_content("vms")};
}

wire::ping ping_with(std::size_t records)
{
    wire::ping message{100000, typical_record(1700), typical_digest(), {}, {}};
    for (std::size_t i = 0; i < records; ++i) {
        message.members.push_back(typical_record(1000 + i));
    }
    return message;
}

// Encodes a ping; the argument is the number of piggybacked member records.
void encode_ping(benchmark::State& run)
{
    const wire::datagram message =
        ping_with(static_cast<std::size_t>(run.range(0)));
    const auto packed = wire::pack(message).value();
    for (auto _ : run) {
        benchmark::DoNotOptimize(wire::encode(message));
    }
    run.counters["bytes"] = static_cast<double>(packed.bytes.size());
    run.counters["records"] = static_cast<double>(packed.members);
}

void decode_ping(benchmark::State& run)
{
    const auto bytes =
        wire::encode(ping_with(static_cast<std::size_t>(run.range(0)))).value();
    for (auto _ : run) {
        benchmark::DoNotOptimize(wire::decode_datagram(bytes, "peer"));
    }
}

template <typename Message>
void report_size(benchmark::State& run, const Message& message)
{
    std::size_t bytes = 0;
    for (auto _ : run) {
        bytes = wire::encode(message).value().size();
    }
    run.counters["bytes"] = static_cast<double>(bytes);
}

void size_of_ping_request(benchmark::State& run)
{
    const auto target = typical_record(12);
    report_size(run,
                wire::datagram{wire::ping_request{100000, typical_record(1700),
                                                  target.name, target.peer}});
}

void size_of_news(benchmark::State& run)
{
    report_size(run, wire::datagram{wire::gossip{
                         typical_record(1700), typical_digest(), {}, {}}});
}

// Size of the frame that a member sends in a sync; the argument is the number
// of members of the fleet.
void size_of_members_request(benchmark::State& run)
{
    wire::members_request request;
    for (std::int64_t i = 0; i < run.range(0); ++i) {
        request.known.push_back(typical_record(static_cast<std::size_t>(i)));
    }
    report_size(run, wire::peer_request{request});
}

void size_of_documents_request(benchmark::State& run)
{
    wire::documents_request request{true, true, {}};
    request.sections.resize(static_cast<std::size_t>(run.range(0)));
    report_size(run, wire::peer_request{request});
}

} // namespace

BENCHMARK(encode_ping)->Arg(0)->Arg(10)->Arg(40);
BENCHMARK(decode_ping)->Arg(0)->Arg(10)->Arg(40);
BENCHMARK(size_of_ping_request);
BENCHMARK(size_of_news);
BENCHMARK(size_of_members_request)->Arg(20)->Arg(200)->Arg(1700);
BENCHMARK(size_of_documents_request)->Arg(0)->Arg(10);
