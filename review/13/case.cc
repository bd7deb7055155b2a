// One of three daemons is partitioned from all leafs for 12 s: its open
// connections live on, new ones are refused. Leafs close connections now and
// then, as in calm. TROUBLE=0: no partition.
#include "review/common-2/site.hh"

#include <random>

using namespace review;

namespace
{

constexpr int machines = 3;
constexpr int leafs = 15;
constexpr int slots = 3;
constexpr int queue = 3;
constexpr double work_s = 0.1;
constexpr int callers = 90;
constexpr double pause_s = 0.2;
constexpr int deadline_ms = 800;
constexpr double calm_s = 8;
constexpr double cut_s = 12;
constexpr double after_s = 4;
constexpr double touch_s = 4;
constexpr int close_every = 28; // answers of a leaf, of which one closes

// A leaf with one address for each daemon, which stands for the daemon's path
// to it.
class leaf_of_three
{
public:
    leaf_of_three(std::string id, std::string ip) : id_(std::move(id)), ip_(std::move(ip))
    {
        for (int i = 0; i < machines; ++i) {
            open(i);
        }
    }
    std::string entry(int daemon) const
    {
        return "{\"service\":\"single\",\"address\":\"" + where(daemon).text() +
               "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
               "\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}";
    }
    void refuse(int daemon)
    {
        std::lock_guard lock(mutex_);
        shutdown(listening_[daemon], SHUT_RDWR);
        ::close(listening_[daemon]);
        listening_[daemon] = -1;
    }
    void open(int daemon)
    {
        const int made = listen_at(where(daemon));
        if (made < 0) {
            std::perror("listen");
            std::exit(2);
        }
        std::lock_guard lock(mutex_);
        listening_[daemon] = made;
        std::thread([this, made, daemon] {
            for (;;) {
                const int socket = accept4(made, nullptr, nullptr, SOCK_CLOEXEC);
                if (socket < 0) {
                    return;
                }
                std::thread([this, socket, daemon] {
                    ++established[daemon];
                    serve(socket);
                    --established[daemon];
                    ::close(socket);
                }).detach();
            }
        }).detach();
    }
    std::atomic<int> established[machines]{};

private:
    address where(int daemon) const { return {ip_, 8081 + daemon}; }
    void serve(int socket)
    {
        std::string buffer;
        message asked;
        while (read_message(socket, buffer, asked, now_s() + 3.5) == read_end::whole) {
            const auto request = asked.header("Attempt-Id");
            const bool health = asked.target() == "/health";
            std::string answer;
            {
                std::unique_lock lock(mutex_);
                if (running_ >= slots && waiting_ >= queue) {
                    lock.unlock();
                    if (!send_all(socket, "HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: " + request +
                                              "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")) {
                        return;
                    }
                    continue;
                }
                ++waiting_;
                free_.wait(lock, [&] { return running_ < slots; });
                --waiting_;
                ++running_;
            }
            sleep_s(health ? 0 : work_s);
            {
                std::lock_guard lock(mutex_);
                --running_;
            }
            free_.notify_one();
            const bool close = ++answers_ % close_every == 0;
            const std::string body = health ? "" : "answer to " + request;
            if (!send_all(socket, "HTTP/1.1 200 OK\r\n" +
                                      (health ? "Instance-Id: " + id_
                                              : "Attempt-Id: " + request + "\r\nServer-Seal: " + id_ +
                                                    "." + request) +
                                      (close ? "\r\nConnection: close" : "\r\nKeep-Alive: timeout=3") +
                                      "\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body) ||
                close) {
                return;
            }
        }
    }
    std::string id_;
    std::string ip_;
    std::mutex mutex_;
    std::condition_variable free_;
    int running_ = 0;
    std::atomic<int> answers_{0};
    int waiting_ = 0;
    int listening_[machines]{};
};

struct tried {
    double at;
    int machine;
    bool served;
};

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    signal(SIGPIPE, SIG_IGN);
    record out(folder + "/record.txt");
    temporary_folder temporary;
    std::vector<std::unique_ptr<leaf_of_three>> all;
    for (int i = 0; i < leafs; ++i) {
        all.push_back(std::make_unique<leaf_of_three>("i-" + std::to_string(i + 1), loopback(60 + i)));
    }
    // The store, under an address for each daemon.
    std::vector<std::unique_ptr<store>> stores;
    for (int d = 0; d < machines; ++d) {
        stores.push_back(std::make_unique<store>(address{loopback(1), 8229 + d}));
        for (int i = 0; i < leafs; ++i) {
            stores.back()->put("servers/i-" + std::to_string(i + 1), all[static_cast<size_t>(i)]->entry(d));
        }
        stores.back()->put("op/config", one_route(2000));
    }
    std::string seeds;
    for (int i = 0; i < machines; ++i) {
        seeds += (i ? "," : "") + loopback(10 + i) + ":8224";
    }
    std::vector<std::unique_ptr<entry_daemon>> daemons;
    for (int i = 0; i < machines; ++i) {
        daemons.push_back(std::make_unique<entry_daemon>(temporary.path, "entry-" + std::to_string(i + 1),
                                                         loopback(10 + i), seeds, stores[static_cast<size_t>(i)]->where()));
        daemons.back()->start();
    }
    for (const auto& each : daemons) {
        if (!serves(*each)) {
            out.line("%s does not serve", each->name.c_str());
            return 2;
        }
    }
    sleep_s(3);
    std::mutex mutex;
    std::vector<tried> tries;
    std::atomic<bool> ends{false};
    std::vector<std::thread> threads;
    for (int c = 0; c < callers; ++c) {
        threads.emplace_back([&, c] {
            std::mt19937 random(static_cast<unsigned>(c) + 17);
            std::vector<int> named;
            double named_until = 0;
            int machine = -1;
            int failed = -1; // the address that has failed this caller
            std::unique_ptr<caller> own;
            for (int n = 0; !ends; ++n) {
                if (now_s() > named_until) {
                    for (int t = 0; t < 3; ++t) {
                        const auto got = ask(daemons[random() % machines]->directory(), "directory",
                                             "/resolve?name=site.example&region=r1&zone=z1", "", 1000, 1);
                        std::vector<int> found;
                        for (int d = 0; d < machines; ++d) {
                            if (got.answer.body.find(daemons[static_cast<size_t>(d)]->front().text()) != std::string::npos) {
                                found.push_back(d);
                            }
                        }
                        const auto at = got.answer.body.find("\"ttl_s\":");
                        if (got.status == 200 && !found.empty() && at != std::string::npos) {
                            named = found;
                            failed = -1;
                            named_until = now_s() + std::min(5.0, std::atof(got.answer.body.c_str() + at + 8));
                            break;
                        }
                    }
                    if (std::find(named.begin(), named.end(), machine) == named.end()) {
                        own.reset();
                    }
                }
                if (named.empty()) {
                    sleep_s(0.1);
                    continue;
                }
                if (!own) {
                    do {
                        machine = named[random() % named.size()];
                    } while (machine == failed && named.size() > 1);
                    own = std::make_unique<caller>(daemons[static_cast<size_t>(machine)]->front());
                }
                const auto id = "c" + std::to_string(c) + "-" + std::to_string(n);
                const double at = now_s();
                const auto got = own->get("site.example", "/s/" + id, id, deadline_ms, deadline_ms / 1000.0);
                const bool served = got.status == 200;
                {
                    std::lock_guard lock(mutex);
                    tries.push_back({at, machine, served});
                }
                if (!served) {
                    out.line("%s sent at %.3f to entry-%d: status %d after %.0f ms", id.c_str(), at, machine + 1, got.status, got.took * 1000);
                }
                if (!served) {
                    failed = machine;
                }
                if (!served || c % 3 != 0) { // a third of the callers keep connections
                    own.reset(); // the next one may go elsewhere
                }
                sleep_s(pause_s);
            }
        });
    }
    sleep_s(calm_s);
    const double begin = now_s();
    if (with_trouble()) {
        out.line("entry-1 is partitioned from all leafs: new connections are refused");
        for (auto& each : all) {
            each->refuse(0);
        }
    }
    for (double at = 0; at < cut_s; at += 0.5) {
        int open = 0;
        for (auto& each : all) {
            open += each->established[0];
        }
        out.line("entry-1 has %d connections to leafs", open);
        sleep_s(0.5);
    }
    const double end = now_s();
    if (with_trouble()) {
        for (auto& each : all) {
            each->open(0);
        }
        out.line("the cut has ended");
    }
    sleep_s(after_s);
    ends = true;
    for (auto& each : threads) {
        each.join();
    }
    for (double from = begin - 4; from < end + after_s; from += 1) {
        int sent[2]{}, ok[2]{};
        for (const auto& each : tries) {
            if (each.at >= from && each.at < from + 1) {
                ++sent[each.machine != 0];
                ok[each.machine != 0] += each.served;
            }
        }
        out.line("second %.0f of the cut: entry-1 served %d of %d, the others %d of %d", from - begin, ok[0], sent[0], ok[1], sent[1]);
    }
    int sent[2]{}, ok[2]{};
    for (const auto& each : tries) {
        if (each.at >= begin + touch_s && each.at < end) {
            ++sent[each.machine != 0];
            ok[each.machine != 0] += each.served;
        }
    }
    const int failed = sent[0] - ok[0];
    out.line("from stabilityWindowMs after the begin of the cut: entry-1 served %d of %d, the others %d of %d", ok[0], sent[0], ok[1], sent[1]);
    const bool broken = sent[0] > 0 && sent[1] > 0 && 3.0 * ok[0] / sent[0] < 2.0 * ok[1] / sent[1] &&
                        failed > 10 + (sent[0] + sent[1]) / 50;
    out.line(broken ? "broken" : "held");
    for (const auto& each : daemons) {
        each->kill_and_wait();
    }
    std::filesystem::remove_all(temporary.path);
    _exit(broken ? 1 : 0);
}
