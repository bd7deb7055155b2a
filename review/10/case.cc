// A request crashes each leaf that begins to run it, and comes again every five
// seconds at all machines. It has to be kept from the leafs after a few crashes.
#include "../common-2/site.hh"

using namespace review;

namespace
{

constexpr int machines = 5;
constexpr int crashable = 15;     // leafs of the service
constexpr double settle_s = 5;    // until the machines know each other
constexpr double touch_s = 4;     // bounds.stabilityWindowMs
constexpr double crash_after_s = 0.4; // from the begin of the run
constexpr double down_s = 3;      // until the leaf is back
constexpr double every_s = 5;     // between the times at which it comes
constexpr int times = 6;
constexpr double apart_s = 0.05;  // between machines
constexpr int allowed = 3;        // retries that may reach leafs
constexpr double work_s = 0.16;   // of an ordinary request, as at taknbru-leit
constexpr int callers = 4;        // ordinary ones at each machine

// A leaf that a request for `fatal` crashes. It is back under its id with a
// later `born`.
class crashing_leaf
{
public:
    crashing_leaf(std::string id, const address& at, store& platform, record& out)
        : id_(std::move(id)), at_(at), platform_(platform), out_(out)
    {
        start();
    }
    std::function<void(const std::string& leaf, double at)> on_fatal;
    std::function<void(double at)> on_crash;

private:
    void start()
    {
        const int listening = listen_at(at_);
        if (listening < 0) {
            std::perror(at_.text().c_str());
            std::exit(2);
        }
        std::lock_guard lock(mutex_);
        listening_ = listening;
        up_ = true;
        platform_.put("servers/" + id_,
                      "{\"service\":\"single\",\"address\":\"" + at_.text() +
                          "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":3,\"state\":\"ready\","
                          "\"coldRemainingMs\":0,\"sequence\":1,\"born\":" +
                          std::to_string(++born_) + "}");
        std::thread([this, listening] { accept_all(listening); }).detach();
    }
    void accept_all(int listening)
    {
        for (;;) {
            const int made = accept4(listening, nullptr, nullptr, SOCK_CLOEXEC);
            if (made < 0) {
                return;
            }
            {
                std::lock_guard lock(mutex_);
                if (!up_) {
                    ::close(made);
                    return;
                }
                connections_.insert(made);
            }
            std::thread([this, made] { serve(made); }).detach();
        }
    }
    void serve(int socket)
    {
        std::string buffer;
        message asked;
        while (read_message(socket, buffer, asked, now_s() + 60) == read_end::whole) {
            const auto request = asked.header("Attempt-Id");
            if (asked.header("Target-Instance") != id_) {
                send_all(socket, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                                     "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (asked.target() == "/s/fatal") {
                on_fatal(id_, now_s());
                sleep_s(crash_after_s);
                crash();
                break;
            }
            sleep_s(work_s);
            const std::string body = "answer to " + request;
            if (!send_all(socket, "HTTP/1.1 200 OK\r\nAttempt-Id: " + request +
                                      "\r\nServer-Seal: " + id_ + "." + request +
                                      "\r\nContent-Length: " + std::to_string(body.size()) +
                                      "\r\n\r\n" + body)) {
                break;
            }
        }
        std::lock_guard lock(mutex_);
        connections_.erase(socket);
        ::close(socket);
    }
    // Ends all connections, as the kernel does for a process that has ended.
    void crash()
    {
        {
            std::lock_guard lock(mutex_);
            if (!up_) {
                return;
            }
            up_ = false;
            shutdown(listening_, SHUT_RDWR);
            ::close(listening_);
            for (const int each : connections_) {
                shutdown(each, SHUT_RDWR);
            }
        }
        out_.line("leaf %s crashes", id_.c_str());
        on_crash(now_s());
        std::thread([this] {
            sleep_s(down_s);
            start();
            out_.line("leaf %s is back", id_.c_str());
        }).detach();
    }
    std::string id_;
    address at_;
    store& platform_;
    record& out_;
    std::mutex mutex_;
    std::set<int> connections_;
    int listening_ = -1;
    bool up_ = false;
    std::int64_t born_ = 1700000000000;
};

} // namespace

int main(int, char** argv)
{
    const std::string folder = argv[1];
    signal(SIGPIPE, SIG_IGN);
    record out(folder + "/record.txt");
    temporary_folder temporary;
    store platform({loopback(1), 8229});
    std::mutex mutex;
    std::vector<double> arrivals;
    std::vector<double> crashes;
    std::vector<std::unique_ptr<crashing_leaf>> leafs;
    for (int i = 0; i < crashable; ++i) {
        leafs.push_back(std::make_unique<crashing_leaf>("i-" + std::to_string(i + 1),
                                                        address{loopback(30 + i), 8080}, platform,
                                                        out));
        leafs.back()->on_fatal = [&](const std::string& leaf, double at) {
            std::lock_guard lock(mutex);
            arrivals.push_back(at);
            out.line("the request reaches leaf %s", leaf.c_str());
        };
        leafs.back()->on_crash = [&](double at) {
            std::lock_guard lock(mutex);
            crashes.push_back(at);
        };
    }
    auto table = one_route(4000);
    table.replace(table.find("\"safe\""), 6, "\"unsafe\"");
    platform.put("op/config", table);
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
    // Ordinary callers, whose requests are not to run twice either.
    std::atomic<bool> ends{false};
    std::atomic<int> sent{0};
    std::atomic<int> served{0};
    std::atomic<int> refused{0};
    std::vector<double> lost; // neither served nor refused: sent to a leaf that crashed
    std::vector<std::thread> threads;
    for (int i = 0; i < machines * callers; ++i) {
        threads.emplace_back([&, i] {
            caller own(daemons[static_cast<std::size_t>(i % machines)]->front());
            for (int n = 0; !ends; ++n) {
                const auto id = "c" + std::to_string(i) + "-" + std::to_string(n);
                const auto got = own.get("site.example", "/s/" + id, id, 4000, 4.5);
                ++sent;
                served += got.status == 200;
                refused += got.status == 503;
                if (got.status != 200 && got.status != 503) {
                    std::lock_guard lock(mutex);
                    lost.push_back(now_s());
                    out.line("ordinary request %s status=%d", id.c_str(), got.status);
                }
                sleep_s(0.05);
            }
        });
    }
    sleep_s(settle_s);
    for (int n = 0; n < times; ++n) {
        if (with_trouble()) {
            for (const auto& each : daemons) {
                threads.emplace_back([&, to = each.get(), n] {
                    const auto id = "fatal-" + to->name + "-" + std::to_string(n);
                    const auto got = ask(to->front(), "site.example", "/s/fatal", id, 4000, 4.5,
                                         "POST", "the same body");
                    out.line("%s status=%d", id.c_str(), got.status);
                });
                sleep_s(apart_s);
            }
        }
        sleep_s(every_s);
    }
    bool alive = true;
    for (const auto& each : daemons) {
        alive = alive && each->runs();
    }
    ends = true;
    for (auto& each : threads) {
        each.join();
    }
    int late = 0;
    int lost_late = 0;
    if (crashes.size() >= 3) {
        std::sort(crashes.begin(), crashes.end());
        for (const double each : arrivals) {
            late += each > crashes[2] + touch_s;
        }
        for (const double each : lost) {
            lost_late += each > crashes[2] + touch_s;
        }
        out.line("it crashed the third leaf at %.3f", crashes[2]);
    }
    out.line("ordinary requests: sent=%d served=%d refused=%d lost=%zu, later than "
             "stabilityWindowMs after the third crash=%d; the daemons run: %d",
             sent.load(), served.load(), refused.load(), lost.size(), lost_late, alive);
    out.line("it reached leafs %zu times, %d times later than stabilityWindowMs after the third "
             "crash",
             arrivals.size(), late);
    const bool broken = late > allowed;
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
