// Requests that crash the leafs that run them, at a small installation on
// loopback addresses: the store, the leafs and the callers are stand-ins (those
// of review 2), the daemons are processes of their own.
#ifndef REVIEW_3_CRASHING_HH
#define REVIEW_3_CRASHING_HH

#include "review/common-2/site.hh"

namespace review3
{

using namespace review;

inline constexpr int machines = 5;
inline constexpr int crashable = 15;  // leafs of the service
inline constexpr double settle_s = 5; // until the machines know each other
inline constexpr double touch_s = 4;  // bounds.stabilityWindowMs
inline constexpr double crash_after_s = 0.4; // from the begin of the run
inline constexpr double down_s = 3;          // until the leaf is back
inline constexpr double apart_s = 0.05;      // between machines
inline constexpr int allowed = 3;            // retries that may reach leafs
inline constexpr double work_s = 0.16; // of an ordinary request
inline constexpr int callers = 4;      // ordinary ones at each machine

inline bool is_fatal(const std::string& target)
{
    return target.compare(0, 8, "/s/fatal") == 0;
}

// What the leafs have seen of the requests that crash them, by target.
class observed
{
public:
    void arrival(const std::string& target, double at)
    {
        std::lock_guard lock(mutex_);
        arrivals_[target].push_back(at);
    }
    void crash(const std::string& target, double at)
    {
        std::lock_guard lock(mutex_);
        crashes_[target].push_back(at);
    }
    // Writes what was seen. Returns whether more than the allowed retries of a
    // request have reached leafs later than stabilityWindowMs after it crashed
    // the third leaf.
    bool judge(record& out)
    {
        std::lock_guard lock(mutex_);
        bool broken = false;
        for (auto& [target, times] : arrivals_) {
            auto& ends = crashes_[target];
            int late = 0;
            if (ends.size() >= 3) {
                std::sort(ends.begin(), ends.end());
                out.line("%s crashed its third leaf at %.3f", target.c_str(), ends[2]);
                for (const double each : times) {
                    late += each > ends[2] + touch_s;
                }
            }
            out.line("%s reached leafs %zu times and crashed %zu; %d times later than "
                     "stabilityWindowMs after the third crash",
                     target.c_str(), times.size(), ends.size(), late);
            broken = broken || late > allowed;
        }
        return broken;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::vector<double>> arrivals_;
    std::map<std::string, std::vector<double>> crashes_;
};

// A leaf that a fatal request crashes, if `crashes` is set. It is back under
// its id with a later `born`.
class crashing_leaf
{
public:
    crashing_leaf(std::string id, const address& at, bool crashes, store& platform,
                  observed& seen, record& out)
        : id_(std::move(id)), at_(at), crashes_(crashes), platform_(platform), seen_(seen),
          out_(out)
    {
        start();
    }

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
            const auto target = asked.target();
            if (asked.header("Target-Instance") != id_) {
                send_all(socket, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                                     "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (is_fatal(target)) {
                out_.line("%s (%s) reaches leaf %s", target.c_str(), request.c_str(), id_.c_str());
                seen_.arrival(target, now_s());
                if (crashes_) {
                    sleep_s(crash_after_s);
                    crash(target);
                    break;
                }
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
    void crash(const std::string& target)
    {
        {
            std::lock_guard lock(mutex_);
            if (!up_) {
                return; // another request was first
            }
            up_ = false;
            shutdown(listening_, SHUT_RDWR);
            ::close(listening_);
            for (const int each : connections_) {
                shutdown(each, SHUT_RDWR);
            }
        }
        out_.line("leaf %s crashes by %s", id_.c_str(), target.c_str());
        seen_.crash(target, now_s());
        std::thread([this] {
            sleep_s(down_s);
            start();
            out_.line("leaf %s is back", id_.c_str());
        }).detach();
    }
    std::string id_;
    address at_;
    bool crashes_;
    store& platform_;
    observed& seen_;
    record& out_;
    std::mutex mutex_;
    std::set<int> connections_;
    int listening_ = -1;
    bool up_ = false;
    std::int64_t born_ = 1700000000000;
};

// The installation: five daemons, fifteen leafs, ordinary callers whose
// requests are `unsafe`, and fatal requests at all daemons, 50 ms apart.
class installation
{
public:
    installation(record& out, bool leafs_crash) : out_(out), platform_({loopback(1), 8229})
    {
        for (int i = 0; i < crashable; ++i) {
            leafs_.push_back(std::make_unique<crashing_leaf>("i-" + std::to_string(i + 1),
                                                             address{loopback(30 + i), 8080},
                                                             leafs_crash, platform_, seen, out));
        }
        auto table = one_route(4000);
        table.replace(table.find("\"safe\""), 6, "\"unsafe\"");
        platform_.put("op/config", table);
        std::string seeds;
        for (int i = 0; i < 3; ++i) {
            seeds += (i ? "," : "") + loopback(10 + i) + ":8224";
        }
        for (int i = 0; i < machines; ++i) {
            daemons.push_back(std::make_unique<entry_daemon>(
                temporary_.path, "entry-" + std::to_string(i + 1), loopback(10 + i), seeds,
                platform_.where()));
        }
    }
    // Starts the daemons. Returns whether all of them serve.
    bool start()
    {
        for (const auto& each : daemons) {
            each->start();
        }
        for (const auto& each : daemons) {
            if (!serves(*each)) {
                out_.line("%s does not serve", each->name.c_str());
                return false;
            }
        }
        return true;
    }
    void start_callers()
    {
        for (int i = 0; i < machines * callers; ++i) {
            threads_.emplace_back([this, i] { call(i); });
        }
    }
    // The fatal requests /s/fatal-0 and so on, at each daemon.
    void send_fatal(int time, int kinds)
    {
        for (const auto& each : daemons) {
            for (int kind = 0; kind < kinds; ++kind) {
                threads_.emplace_back([this, to = each.get(), time, kind] {
                    const auto target = "/s/fatal-" + std::to_string(kind);
                    const auto id = to->name + "-" + std::to_string(time) + "-" +
                                    std::to_string(kind);
                    const auto got = ask(to->front(), "site.example", target, id, 4000, 4.5,
                                         "POST", "the same body");
                    out_.line("%s of %s status=%d", target.c_str(), id.c_str(), got.status);
                });
            }
            sleep_s(apart_s);
        }
    }
    // Ends everything. Returns the exit status.
    int finish()
    {
        bool alive = true;
        for (const auto& each : daemons) {
            alive = alive && each->runs();
        }
        ends_ = true;
        for (auto& each : threads_) {
            each.join();
        }
        out_.line("ordinary requests: sent=%d served=%d refused=%d lost=%d; the daemons run: %d",
                  sent_.load(), served_.load(), refused_.load(), lost_.load(), alive);
        const bool broken = seen.judge(out_);
        out_.line(broken ? "broken" : "held");
        for (const auto& each : daemons) {
            each->kill_and_wait();
        }
        std::filesystem::remove_all(temporary_.path);
        return broken || !alive ? 1 : 0;
    }
    observed seen;
    std::vector<std::unique_ptr<entry_daemon>> daemons;

private:
    void call(int number)
    {
        const auto& to = daemons[static_cast<std::size_t>(number % machines)];
        caller own(to->front());
        for (int n = 0; !ends_; ++n) {
            const auto id = "c" + std::to_string(number) + "-" + std::to_string(n);
            const auto got = own.get("site.example", "/s/" + id, id, 4000, 4.5);
            ++sent_;
            served_ += got.status == 200;
            refused_ += got.status == 503;
            if (got.status != 200 && got.status != 503) {
                ++lost_; // neither served nor refused
                if (got.status != 0) {
                    out_.line("ordinary request %s status=%d", id.c_str(), got.status);
                }
            }
            sleep_s(0.05);
        }
    }
    record& out_;
    temporary_folder temporary_;
    store platform_;
    std::vector<std::unique_ptr<crashing_leaf>> leafs_;
    std::vector<std::thread> threads_;
    std::atomic<bool> ends_{false};
    std::atomic<int> sent_{0};
    std::atomic<int> served_{0};
    std::atomic<int> refused_{0};
    std::atomic<int> lost_{0};
};

} // namespace review3

#endif
