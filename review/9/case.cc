// Three of five machines lose power at once: those that read the store. The
// other two have to follow the operator's configuration in time nevertheless.
#include "../common-2/site.hh"

using namespace review;

namespace
{

constexpr int machines = 5;
constexpr int lost = 3;              // 0.6 of them
constexpr double settle_s = 6;      // until the machines know each other
constexpr double reading_s = 14;     // in which the readers are found out
constexpr double change_after_s = 0.1; // from the loss to the new version
constexpr double down_s = 5;         // without power
constexpr double measured_s = 10;    // from the loss on
constexpr double config_apply_s = 3; // bounds.configApplyMs
constexpr double pause_s = 0.05;     // between requests to one machine
constexpr int timeout_ms = 2000;     // timeoutMs of the route
constexpr int deadline_ms = 2000;

// The calls to the store that a daemon has made, by its metrics; -1 if unknown.
long store_calls(const entry_daemon& of)
{
    const auto got = exchange({of.ip, 9790}, "GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n", 2);
    const std::string name = "\nbulrushspring_platform_reads_total ";
    const auto at = got.answer.body.find(name);
    return at == std::string::npos ? -1 : std::atol(got.answer.body.c_str() + at + name.size());
}

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    signal(SIGPIPE, SIG_IGN);
    record out(folder + "/record.txt");
    temporary_folder temporary;
    store platform({loopback(1), 8229});
    std::vector<std::unique_ptr<leaf>> leafs;
    for (int i = 0; i < 6; ++i) {
        leafs.push_back(std::make_unique<leaf>("i-" + std::to_string(i + 1),
                                               i < 3 ? "single" : "second",
                                               address{loopback(30 + i), 8080}, 0.005));
        platform.put("servers/" + leafs.back()->id, leafs.back()->entry());
    }
    platform.put("op/config", one_route(timeout_ms));
    std::string seeds;
    for (int i = 0; i < 3; ++i) {
        seeds += (i ? "," : "") + loopback(10 + i) + ":8224";
    }
    std::vector<std::unique_ptr<entry_daemon>> daemons;
    for (int i = 0; i < machines; ++i) {
        daemons.push_back(std::make_unique<entry_daemon>(temporary.path,
                                                         "entry-" + std::to_string(i + 1),
                                                         loopback(10 + i), seeds,
                                                         platform.where()));
        daemons.back()->start();
    }
    for (const auto& each : daemons) {
        if (!serves(*each)) {
            out.line("%s does not serve", each->name.c_str());
            return 2;
        }
    }
    sleep_s(settle_s);
    std::vector<long> before;
    for (const auto& each : daemons) {
        before.push_back(store_calls(*each));
    }
    sleep_s(reading_s);
    std::vector<entry_daemon*> readers;
    std::vector<entry_daemon*> others;
    for (int i = 0; i < machines; ++i) {
        const auto at = static_cast<std::size_t>(i);
        const auto calls = store_calls(*daemons[at]) - before[at];
        out.line("%s made %ld calls to the store in %.0f s", daemons[at]->name.c_str(), calls,
                 reading_s);
        (calls > 0 ? readers : others).push_back(daemons[at].get());
    }
    if (readers.size() != lost) {
        out.line("not %d readers", lost);
        return 2;
    }
    std::atomic<bool> ends{false};
    std::atomic<double> confirmed{1e9};
    std::atomic<int> calm{0}, calm_served{0}, late{0}, by_old{0}, by_new{0};
    std::vector<std::thread> threads;
    for (auto* each : others) {
        threads.emplace_back([&, each] {
            caller own(each->front());
            for (int n = 0; !ends; ++n) {
                const auto id = each->name + "-" + std::to_string(n);
                const double sent = now_s();
                const auto got = own.get("site.example", "/s/" + id, id, deadline_ms, 3);
                const auto seal = got.answer.header("Server-Seal");
                const bool old = seal.find("i-1.") == 0 || seal.find("i-2.") == 0 ||
                                 seal.find("i-3.") == 0;
                const bool served = got.status == 200;
                if (sent < confirmed) {
                    ++calm;
                    calm_served += served;
                } else if (sent > confirmed + config_apply_s) {
                    ++late;
                    by_old += served && old;
                    by_new += served && !old;
                }
                if (!ends) {
                    out.line("%s sent=%.3f status=%d seal=%s", id.c_str(), sent, got.status,
                             seal.c_str());
                }
                sleep_s(pause_s);
            }
        });
    }
    sleep_s(2);
    const double begun = now_s();
    if (with_trouble()) {
        for (auto* each : readers) {
            each->kill_and_wait();
        }
        out.line("%s, %s and %s lose power", readers[0]->name.c_str(), readers[1]->name.c_str(),
                 readers[2]->name.c_str());
    }
    sleep_s(change_after_s);
    platform.put("op/config", one_route(timeout_ms, "8", "second"));
    confirmed = now_s();
    out.line("version 8 is confirmed; it moves the route to the service \"second\"");
    sleep_s(begun + down_s - now_s());
    if (with_trouble()) {
        for (auto* each : readers) {
            each->start();
        }
        out.line("they have power again");
    }
    sleep_s(begun + measured_s - now_s());
    ends = true;
    for (auto& each : threads) {
        each.join();
    }
    bool alive = true;
    for (auto* each : others) {
        alive = alive && each->runs();
    }
    out.line("until then: sent=%d served=%d; the two run: %d", calm.load(), calm_served.load(),
             alive);
    out.line("later than configApplyMs: sent=%d run by the old service=%d by the new one=%d",
             late.load(), by_old.load(), by_new.load());
    const bool broken = by_old > 0;
    out.line(broken ? "broken" : "held");
    if (std::getenv("KEEP") != nullptr) {
        for (const auto& each : daemons) {
            std::filesystem::copy(temporary.path + "/" + each->name + ".log",
                                  folder + "/" + each->name + ".log",
                                  std::filesystem::copy_options::overwrite_existing);
        }
    }
    for (const auto& each : daemons) {
        each->kill_and_wait();
    }
    std::filesystem::remove_all(temporary.path);
    _exit(broken ? 1 : 0);
}
