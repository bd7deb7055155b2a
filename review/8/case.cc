// Another writer puts large entries that can't be read among those of the
// leafs. The daemon has to follow the operator's configurations nevertheless.
#include "../common-2/site.hh"

using namespace review;

namespace
{

constexpr int entries = 40;
constexpr std::size_t entry_bytes = 1048576; // platform.valueBytes
constexpr double calm_s = 3;
constexpr double measured_s = 25;        // from the confirmation on
constexpr double config_apply_s = 3;     // bounds.configApplyMs
constexpr double pause_s = 0.1;          // between requests
constexpr int timeout_ms = 2000;         // timeoutMs of the route
constexpr int deadline_ms = 2000;

// Bytes that are no JSON.
std::string unreadable(int seed)
{
    std::string bytes(entry_bytes, '\0');
    std::uint32_t state = 2463534242U + static_cast<std::uint32_t>(seed);
    for (auto& each : bytes) {
        state ^= state << 13;
        state ^= state >> 17;
        state ^= state << 5;
        each = static_cast<char>(state);
    }
    return bytes;
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
                                               address{loopback(20 + i), 8080}, 0.005));
        platform.put("servers/" + leafs.back()->id, leafs.back()->entry());
    }
    platform.put("op/config", one_route(timeout_ms));
    entry_daemon entry(temporary.path, "entry-1", loopback(10), loopback(10) + ":8224",
                       platform.where());
    entry.start();
    if (!serves(entry)) {
        out.line("the daemon does not serve");
        return 2;
    }
    const auto seal_of = [](const outcome& got) { return got.answer.header("Server-Seal"); };
    const auto is_of = [&](const outcome& got, int first) {
        for (int i = first; i < first + 3; ++i) {
            if (seal_of(got).find("i-" + std::to_string(i) + ".") == 0) {
                return true;
            }
        }
        return false;
    };
    int number = 0;
    caller own(entry.front());
    const auto get = [&] {
        const auto id = "c" + std::to_string(++number);
        const auto got = own.get("site.example", "/s/" + id, id, deadline_ms, 3);
        out.line("%s status=%d seal=%s ms=%.0f", id.c_str(), got.status, seal_of(got).c_str(),
                 got.took * 1000);
        sleep_s(pause_s);
        return got;
    };
    int calm = 0;
    int calm_served = 0;
    for (const double until = now_s() + calm_s; now_s() < until; ++calm) {
        calm_served += is_of(get(), 1);
    }
    if (with_trouble()) {
        std::vector<std::string> values;
        for (int i = 0; i < entries; ++i) {
            values.push_back(unreadable(i));
        }
        for (int i = 0; i < entries; ++i) {
            platform.put("servers/other-" + std::to_string(i), values[static_cast<std::size_t>(i)]);
        }
        out.line("another writer has put %d entries of %zu bytes", entries, entry_bytes);
    }
    sleep_s(2);
    platform.put("op/config", one_route(timeout_ms, "8", "second"));
    const double confirmed = now_s();
    out.line("version 8 is confirmed; it moves the route to the service \"second\"");
    int late = 0; // sent later than configApplyMs after the confirmation
    int by_old = 0;
    int by_new = 0;
    while (now_s() < confirmed + measured_s) {
        const bool counts = now_s() > confirmed + config_apply_s;
        const auto got = get();
        late += counts;
        by_old += counts && is_of(got, 1);
        by_new += counts && is_of(got, 4);
    }
    const bool alive = entry.runs();
    out.line("calm: sent=%d served=%d", calm, calm_served);
    out.line("later than configApplyMs: sent=%d run by the old service=%d by the new one=%d; the "
             "daemon runs: %d; peak_kb=%ld",
             late, by_old, by_new, alive, entry.status_kb("VmHWM"));
    const bool broken = by_old > 0;
    out.line(broken ? "broken" : "held");
    if (std::getenv("KEEP") != nullptr) {
        std::filesystem::copy(temporary.path + "/entry-1.log", folder + "/entry-1.log",
                              std::filesystem::copy_options::overwrite_existing);
    }
    entry.kill_and_wait();
    std::filesystem::remove_all(temporary.path);
    _exit(broken ? 1 : 0);
}
