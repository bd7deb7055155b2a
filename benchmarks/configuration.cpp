// Costs of the configuration in a daemon: bytes and time of a change, time of
// the steps for each datagram and tick, and memory.

#include "libraries/configuration/configuration.hpp"
#include "libraries/manifest/vm_changes.hpp"

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace
{

using namespace bulrushspring;
using configuration::accepted_documents;
using configuration::section_texts;

constexpr std::size_t leafs_per_pool = 360; // 180 shards with two replicas each
constexpr std::size_t fleet_vms = 1700;
constexpr std::size_t data_centres = 10;

// A manifest in its published form.
struct published {
    shared_text index_text;
    manifest::index index;
    section_texts texts;
    std::size_t bytes = 0; // of all sections
};

std::string address(std::size_t number)
{
    return "10." + std::to_string(number / 65536 % 256) + "." +
           std::to_string(number / 256 % 256) + "." +
           std::to_string(number % 256);
}

std::string fleet_text(std::size_t vms)
{
    std::string text = "[fleet]\nspare_vms = 2\n";
    for (std::size_t i = 0; i < data_centres; ++i) {
        text += "[data_centre dc-" + std::to_string(i) + "]\nregion = r" +
                std::to_string(i % 3) + "\n";
    }
    for (std::size_t i = 0; i < vms; ++i) {
        const std::string at = address(i);
        text += "[vm entry-" + std::to_string(i) + "]\ndata_centre = dc-" +
                std::to_string(i % data_centres) + "\ncaller = " + at +
                ":7001\npeer = " + at + ":7002\noperators = " + at + ":7003\n";
    }
    return text;
}

std::string pool_text(const std::string& name, std::size_t first,
                      std::size_t leafs)
{
    const std::size_t shards = (leafs + 1) / 2;
    std::string text = "[pool]\nserve = 17\nslots = 3\nconnections = 2000\n"
                       "connect_cost_ms = 6\n[snapshot 17]\nshards = " +
                       std::to_string(shards) + "\n";
    for (std::size_t i = 0; i < leafs; ++i) {
        text += "[leaf " + name + "-" + std::to_string(i) +
                "]\naddress = " + address(100000 + first + i) +
                ":9000\ndata_centre = dc-" + std::to_string(i % data_centres) +
                "\nholds = 17/" + std::to_string(i % shards) + "\n";
    }
    return text;
}

// Makes a manifest with a pool and a service per `per_pool` leafs. `weight` is
// the version and the weight of the services, so that they differ between
// versions; `suffix` is appended to the section of the first pool.
published make_published(std::size_t leafs, std::size_t per_pool,
                         std::size_t weight = 1, const char* suffix = "")
{
    std::vector<manifest::section_text> sections{
        {"fleet", fleet_text(fleet_vms)}};
    for (std::size_t first = 0; first < leafs; first += per_pool) {
        const std::string name = "index-" + std::to_string(first / per_pool);
        const auto size = std::min(per_pool, leafs - first);
        std::string pool = pool_text(name, first, size);
        pool += first == 0 ? suffix : "";
        sections.push_back({"pool." + name, std::move(pool)});
        sections.push_back(
            {"service." + name, "[service]\nkind = query\npool = " + name +
                                    "\ndeadline_ms = 150\nweight = " +
                                    std::to_string(weight) + "\n"});
    }
    published result;
    result.index_text = std::make_shared<const std::string>(
        manifest::pack_index(weight, sections));
    result.index = manifest::parse_index(*result.index_text).value();
    for (const auto& one : sections) {
        result.bytes += one.content.size();
        result.texts[hash_content(one.content)] =
            std::make_shared<const std::string>(one.content);
    }
    return result;
}

accepted_documents accept(const published& what,
                          const accepted_documents& before)
{
    return configuration::validate(what.index_text, what.index, before,
                                   what.texts)
        .value();
}

std::size_t bytes_in_use()
{
    return mallinfo2().uordblks;
}

// Accepts a first manifest, or one in which every section has changed.
void accept_all_sections(benchmark::State& state)
{
    const auto leafs = static_cast<std::size_t>(state.range(0));
    const auto what = make_published(leafs, leafs_per_pool);
    const auto before = bytes_in_use();
    const auto held = accept(what, {});
    state.counters["memory_bytes"] =
        static_cast<double>(bytes_in_use() - before + what.bytes);
    state.counters["published_bytes"] = static_cast<double>(what.bytes);
    state.counters["index_bytes"] =
        static_cast<double>(what.index_text->size());
    for (auto unused : state) {
        benchmark::DoNotOptimize(accept(what, {}));
    }
}
BENCHMARK(accept_all_sections)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMillisecond);

// Accepts the usual change, in which one section differs. The daemon fetches
// the index and that section.
void accept_one_changed_pool(benchmark::State& state)
{
    const auto leafs = static_cast<std::size_t>(state.range(0));
    const auto before = accept(make_published(leafs, leafs_per_pool), {});
    // Changing a comment changes the hash of the section.
    const auto next = make_published(leafs, leafs_per_pool, 1, "; changed\n");
    std::size_t fetched = next.index_text->size();
    for (const auto& [hash, text] : next.texts) {
        fetched += before.texts.contains(hash) ? 0 : text->size();
    }
    state.counters["fetched_bytes"] = static_cast<double>(fetched);
    for (auto unused : state) {
        benchmark::DoNotOptimize(accept(next, before));
    }
}
BENCHMARK(accept_one_changed_pool)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(10000)
    ->Unit(benchmark::kMillisecond);

// Parses a section that holds all leafs in one pool; section_bytes shows
// whether it fits into one value on the platform.
void parse_one_pool(benchmark::State& state)
{
    const auto text =
        pool_text("index-0", 0, static_cast<std::size_t>(state.range(0)));
    state.counters["section_bytes"] = static_cast<double>(text.size());
    for (auto unused : state) {
        benchmark::DoNotOptimize(manifest::parse_section("pool.p", text));
    }
}
BENCHMARK(parse_one_pool)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(8000)
    ->Unit(benchmark::kMillisecond);

manifest::vm_list make_vm_list(std::size_t vms, std::size_t leaving)
{
    manifest::vm_list list;
    for (std::size_t i = 0; i < vms; ++i) {
        (i == leaving ? list.leaving : list.live)
            .push_back("machine-" + std::to_string(100000 + i));
    }
    return list;
}

// Applies the change of one VM's state: bytes fetched, compared with those of
// the complete list, and time.
void apply_vm_changes(benchmark::State& state)
{
    const auto vms = static_cast<std::size_t>(state.range(0));
    const auto before = make_vm_list(vms, 1);
    const auto changes =
        manifest::to_text(manifest::difference(before, make_vm_list(vms, 2)));
    state.counters["whole_bytes"] =
        static_cast<double>(manifest::to_text(before).size());
    state.counters["fetched_bytes"] = static_cast<double>(changes.size());
    for (auto unused : state) {
        const auto after = manifest::apply(
            before, manifest::parse_vm_changes(changes).value());
        benchmark::DoNotOptimize(hash_content(manifest::to_text(after)));
        benchmark::DoNotOptimize(manifest::difference(before, after));
    }
}
BENCHMARK(apply_vm_changes)
    ->Arg(100)
    ->Arg(1000)
    ->Arg(11200)
    ->Unit(benchmark::kMillisecond);

// A ready daemon that has all documents, in a fleet of the given size.
struct ready_daemon {
    std::vector<wire::member_record> live;
    wire::member_record self;
    configuration::state node;
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;
    boot_time now{seconds{1000}};

    explicit ready_daemon(std::size_t members)
    {
        for (std::size_t i = 0; i < members; ++i) {
            wire::member_record record;
            record.name = "entry-" + std::to_string(i);
            record.data_centre = "dc-" + std::to_string(i % data_centres);
            live.push_back(std::move(record));
        }
        self = live.front();
        node = configuration::make_state({}, 1, now);
        node.in_force = accept(make_published(1000, leafs_per_pool), {});
        node.check.reset();
        node.announced = true;
    }

    template <typename Event>
    void feed(const Event& event)
    {
        effects.clear();
        context context{now, effects, last_identifier};
        configuration::reduce(node, event, {live, self}, context);
    }
};

// Handles the digest of a daemon with the same documents, as nearly every
// datagram carries it.
void step_datagram(benchmark::State& state)
{
    ready_daemon daemon(static_cast<std::size_t>(state.range(0)));
    daemon.feed(tick{});
    const datagram_received ping{
        {1, 1},
        wire::ping{0,
                   daemon.live.back(),
                   configuration::digest_of(daemon.node),
                   {},
                   {}}};
    for (auto unused : state) {
        daemon.feed(ping);
    }
}
BENCHMARK(step_datagram)->Arg(20)->Arg(200)->Arg(1700);

// Handles the tick, once a second, that reviews which daemons read the
// platform.
void step_tick_with_review(benchmark::State& state)
{
    ready_daemon daemon(static_cast<std::size_t>(state.range(0)));
    for (auto unused : state) {
        daemon.now += seconds{1};
        daemon.feed(tick{});
    }
}
BENCHMARK(step_tick_with_review)->Arg(20)->Arg(200)->Arg(1700);

// Handles another daemon's request for the index and the largest section.
void step_documents_request(benchmark::State& state)
{
    ready_daemon daemon(20);
    wire::documents_request request;
    request.manifest_index = true;
    request.sections = {daemon.node.in_force.sections.at("fleet").hash};
    for (auto unused : state) {
        daemon.now += seconds{1};
        daemon.feed(peer_request_received{peer_token{1}, {1, 1}, request});
    }
}
BENCHMARK(step_documents_request);

} // namespace
