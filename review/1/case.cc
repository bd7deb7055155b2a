// A second, late copy of a leaf's refusal reaches the daemon where the answer
// to the second sending of the same request is expected.
#include "review/common/leaf.hh"

using namespace review;

namespace
{

constexpr std::size_t daemon_count = 3;
constexpr std::size_t leaf_count = 5;
constexpr std::size_t client_count = 36;
constexpr long traffic_ms = 90000;
// garble, how "extra late": share 0.6 of the leafs, 0.04 of their answers, for
// 5 s; here each 6 s.
constexpr double faulty_share = 0.6;
constexpr double extra_share = 0.04;
constexpr long window_ms = 5000;
constexpr long period_ms = 6000;
constexpr long deadline_ms = 8000;

struct outcome {
    std::string id;
    unsigned status = 0;
    long answered_at = 0;
};

std::string config_text()
{
    return "{\"version\":7,\"routes\":[{\"name\":\"order\",\"host\":"
           "\"site.example\",\"prefix\":\"/order/\",\"kind\":\"unsafe\","
           "\"timeoutMs\":8000,\"targetLatencyMs\":500,\"priority\":2,"
           "\"service\":\"tracker\",\"maxAttempts\":1}],\"services\":[" +
           service_text("tracker", 214) + "],\"limits\":" + limits_text() + "}";
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3) {
        return 2;
    }
    record_file record(argv[2]);
    network net;
    fleet system;
    system.program = argv[1];
    system.folder = make_folder();
    system.zones = {"zone-a", "zone-b", "zone-c"};
    system.platform = net.next(8229);
    store platform(system.platform);
    run_log runs;
    std::vector<std::unique_ptr<leaf>> leafs;
    std::atomic<long> traffic_from{-1};
    for (std::size_t i = 0; i < leaf_count; ++i) {
        leaf_options made;
        made.id = "i-" + std::to_string(i + 1);
        made.service = "tracker";
        made.at = net.next(8080);
        made.zone = system.zones[i % 3];
        const bool faulty = static_cast<double>(i) <
                            faulty_share * static_cast<double>(leaf_count);
        made.extra_share = [&traffic_from, faulty] {
            const long since = elapsed_ms() - traffic_from;
            return disturbs() && faulty && traffic_from >= 0 &&
                           since % period_ms >= period_ms - window_ms
                       ? extra_share
                       : 0.0;
        };
        leafs.push_back(std::make_unique<leaf>(made, runs, record));
        platform.put("servers/" + made.id, leafs.back()->entry());
    }
    platform.put("op/config", config_text());
    for (std::size_t i = 0; i < daemon_count; ++i) {
        system.daemons.push_back({"front-" + std::to_string(i + 1),
                                  system.zones[i % 3], net.next(0).ip});
    }
    for (auto& each : system.daemons) {
        system.start(each);
    }
    if (!await_ready(system, 10000)) {
        record.line("the daemons are not ready");
        system.stop_all();
        return 2;
    }
    sleep_ms(4000);
    traffic_from = elapsed_ms();
    std::mutex mutex;
    std::vector<outcome> outcomes;
    std::vector<std::thread> clients;
    for (std::size_t i = 0; i < client_count; ++i) {
        clients.emplace_back([&, i] {
            client asks(system.daemons[i % daemon_count].front());
            for (std::size_t n = 0; elapsed_ms() < traffic_from + traffic_ms;
                 ++n) {
                outcome made;
                made.id = "c" + std::to_string(i) + "n" + std::to_string(n);
                const auto result = asks.ask(
                    request_text("POST", "/order/" + made.id, "site.example",
                                 made.id, deadline_ms, "board " + made.id),
                    deadline_ms);
                made.status = result.status;
                made.answered_at = elapsed_ms();
                record.line("client gets " + std::to_string(result.status) +
                            " for " + made.id);
                {
                    const std::lock_guard lock(mutex);
                    outcomes.push_back(made);
                }
                sleep_ms(result.status == 200 ? 10 : 100);
            }
        });
    }
    for (auto& each : clients) {
        each.join();
    }
    sleep_ms(3000);
    system.stop_all();
    const auto ran = runs.all();
    long twice = 0;
    long refused = 0;
    std::map<unsigned, long> statuses;
    for (const auto& each : outcomes) {
        ++statuses[each.status];
        const auto found = ran.find(each.id);
        if (found == ran.end()) {
            continue;
        }
        std::string where;
        for (const auto& run : found->second) {
            where += " " + run;
        }
        if (found->second.size() > 1) {
            ++twice;
            record.line("TWICE: " + each.id + " ran" + where);
        }
        const std::set<unsigned> promises{408, 421, 429, 503};
        if (promises.count(each.status) > 0) {
            ++refused;
            record.line("REFUSED: " + each.id + " got " +
                        std::to_string(each.status) + " at " +
                        std::to_string(each.answered_at) + " and ran" + where);
        }
    }
    std::string summary = "summary:";
    for (const auto& [status, count] : statuses) {
        summary += " " + std::to_string(status) + "x" + std::to_string(count);
    }
    long shed = 0;
    long extras = 0;
    for (const auto& each : leafs) {
        shed += each->refused;
        extras += each->extras;
    }
    summary += ", refused by leafs " + std::to_string(shed) +
               ", second copies " + std::to_string(extras) + ", TWICE " +
               std::to_string(twice) + ", REFUSED " + std::to_string(refused);
    record.line(summary);
    std::puts(summary.c_str());
    std::fflush(stdout);
    _exit(twice > 0 || refused > 0 ? 1 : 0);
}
