// Stand-ins for the cases in this folder: a store, leafs and clients on
// loopback addresses, and the daemon processes under test. Blocking sockets,
// one thread a connection.
#ifndef REVIEW_COMMON_HARNESS_HH
#define REVIEW_COMMON_HARNESS_HH

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

inline const steady::time_point began = steady::now();

inline long elapsed_ms()
{
    return std::chrono::duration_cast<milliseconds>(steady::now() - began)
        .count();
}

inline void sleep_ms(long span)
{
    std::this_thread::sleep_for(milliseconds{span});
}

// The record of what was sent, answered and run.
class record_file
{
public:
    explicit record_file(const std::string& path) : file_(path) {}
    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << elapsed_ms() << " ms " << text << '\n';
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

struct address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_socket_address(const address& of)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(of.port);
    inet_pton(AF_INET, of.ip.c_str(), &made.sin_addr);
    return made;
}

inline int listen_on(const address& at)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_socket_address(at);
    if (bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) !=
            0 ||
        listen(made, 512) != 0) {
        close(made);
        return -1;
    }
    return made;
}

inline int connect_to(const address& to, long timeout_ms = 1000)
{
    const int made =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto where = to_socket_address(to);
    if (connect(made, reinterpret_cast<const sockaddr*>(&where),
                sizeof where) != 0) {
        pollfd wait{made, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof error;
        if (errno != EINPROGRESS ||
            poll(&wait, 1, static_cast<int>(timeout_ms)) != 1 ||
            getsockopt(made, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
            error != 0) {
            close(made);
            return -1;
        }
    }
    fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return made;
}

inline bool send_all(int socket, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto sent =
            send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}

inline std::string lower(std::string text)
{
    for (auto& each : text) {
        each = static_cast<char>(tolower(static_cast<unsigned char>(each)));
    }
    return text;
}

// An HTTP/1.1 message with a length; requests and answers alike.
struct message {
    std::string start_line;
    std::map<std::string, std::string> headers; // names in lower case
    std::string body;
    unsigned status() const
    {
        return start_line.size() < 12
                   ? 0
                   : static_cast<unsigned>(
                         std::strtoul(start_line.c_str() + 9, nullptr, 10));
    }
    std::string method() const
    {
        return start_line.substr(0, start_line.find(' '));
    }
    std::string target() const
    {
        const auto first = start_line.find(' ');
        const auto second = start_line.find(' ', first + 1);
        return start_line.substr(first + 1, second - first - 1);
    }
    std::string header(const std::string& name) const
    {
        const auto found = headers.find(lower(name));
        return found == headers.end() ? "" : found->second;
    }
};

// Reads messages from a socket; keeps what was read beyond one.
class reader
{
public:
    explicit reader(int socket) : socket_(socket) {}

    // Nothing if the connection ends, or the time runs out, before the end of
    // the message.
    std::optional<message> read(long timeout_ms = 600000)
    {
        const auto until = steady::now() + milliseconds{timeout_ms};
        timed_out = false;
        std::size_t end = 0;
        while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        message made;
        std::istringstream lines(buffer_.substr(0, end));
        buffer_.erase(0, end + 4);
        std::string line;
        std::getline(lines, made.start_line);
        while (!made.start_line.empty() && made.start_line.back() == '\r') {
            made.start_line.pop_back();
        }
        while (std::getline(lines, line)) {
            if (!line.empty() && line.back() == '\r') {
                line.pop_back();
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = line.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            made.headers[lower(line.substr(0, colon))] = value;
        }
        const auto length =
            std::strtoul(made.header("content-length").c_str(), nullptr, 10);
        while (buffer_.size() < length) {
            if (!fill(until)) {
                return std::nullopt;
            }
        }
        made.body = buffer_.substr(0, length);
        buffer_.erase(0, length);
        return made;
    }
    bool timed_out = false;

private:
    bool fill(steady::time_point until)
    {
        const auto left =
            std::chrono::duration_cast<milliseconds>(until - steady::now())
                .count();
        pollfd wait{socket_, POLLIN, 0};
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) != 1) {
            timed_out = true;
            return false;
        }
        char bytes[65536];
        const auto count = recv(socket_, bytes, sizeof bytes, 0);
        if (count <= 0) {
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(count));
        return true;
    }

    int socket_;
    std::string buffer_;
};

inline std::string
answer_text(unsigned status, const std::string& reason,
            const std::vector<std::pair<std::string, std::string>>& headers,
            const std::string& body)
{
    std::string text =
        "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// Accepts connections until it is destroyed; serves each in its own thread.
class acceptor
{
public:
    using serve_function = std::function<void(int socket)>;

    acceptor(const address& at, serve_function serve)
        : listener_(listen_on(at)), serve_(std::move(serve))
    {
        if (listener_ < 0) {
            std::fprintf(stderr, "cannot listen on %s\n", at.text().c_str());
            std::exit(2);
        }
        std::thread([this] { run(); }).detach();
    }

private:
    void run()
    {
        for (;;) {
            const int accepted =
                accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                return;
            }
            const int on = 1;
            setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, accepted] {
                serve_(accepted);
                close(accepted);
            }).detach();
        }
    }

    int listener_;
    serve_function serve_;
};

inline std::string base64(std::string_view plain)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    text.reserve(plain.size() * 4 / 3 + 4);
    for (std::size_t at = 0; at < plain.size(); at += 3) {
        const auto left = std::min<std::size_t>(3, plain.size() - at);
        std::uint32_t group = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            group = group << 8 |
                    (i < left ? static_cast<unsigned char>(plain[at + i]) : 0U);
        }
        for (std::size_t i = 0; i < 4; ++i) {
            text += i <= left ? digits[group >> (18 - 6 * i) & 63U] : '=';
        }
    }
    return text;
}

// The platform's store, as PROTOCOL.md describes it: it can be read by item, by
// prefix in pages, and by watching. Everything is encoded as JSON.
class store
{
public:
    explicit store(const address& at)
        : acceptor_(at, [this](int socket) { serve(socket); })
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        const std::lock_guard lock(mutex_);
        items_[key] = {++revision_, value};
        history_.push_back({key, revision_, value, false, steady::now()});
        changed_.notify_all();
    }

    void remove(const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        items_.erase(key);
        history_.push_back({key, ++revision_, "", true, steady::now()});
        changed_.notify_all();
    }

    // Keeps a copy of what the store holds.
    void save_copy()
    {
        const std::lock_guard lock(mutex_);
        copied_items_ = items_;
        copied_revision_ = revision_;
    }

    // Answers 503 until it is back. A watch that waits is cut.
    void go_away() { away_ = true; }

    // Comes back from the copy. Revisions are given out again.
    void come_back_from_copy()
    {
        const std::lock_guard lock(mutex_);
        items_ = copied_items_;
        revision_ = copied_revision_;
        history_.clear();
        forgotten_ = revision_;
        ++era_;
        away_ = false;
        changed_.notify_all();
    }

    long history_ms = 20000;
    // An answer to a watch ends once it is longer, and the next begins there;
    // 0: no limit.
    std::size_t watch_bytes = 0;

private:
    struct item {
        std::uint64_t revision = 0;
        std::string value;
    };
    struct change {
        std::string key;
        std::uint64_t revision = 0;
        std::string value;
        bool removed = false;
        steady::time_point at;
    };

    static std::string parameter(const std::string& target,
                                 const std::string& name)
    {
        const auto mark = target.find('?');
        std::istringstream pairs(
            mark == std::string::npos ? "" : target.substr(mark + 1));
        std::string pair;
        while (std::getline(pairs, pair, '&')) {
            const auto equals = pair.find('=');
            if (pair.substr(0, equals) != name || equals == std::string::npos) {
                continue;
            }
            std::string plain;
            for (std::size_t i = equals + 1; i < pair.size(); ++i) {
                if (pair[i] == '%' && i + 2 < pair.size()) {
                    plain += static_cast<char>(std::strtoul(
                        pair.substr(i + 1, 2).c_str(), nullptr, 16));
                    i += 2;
                } else {
                    plain += pair[i];
                }
            }
            return plain;
        }
        return "";
    }

    static std::string item_text(const std::string& key,
                                 const std::string& value,
                                 std::uint64_t revision)
    {
        return "\"key\":\"" + key + "\",\"value\":\"" + base64(value) +
               "\",\"revision\":" + std::to_string(revision) +
               ",\"created\":" + std::to_string(revision) + ",\"lease\":0";
    }

    std::string answer_key(const std::string& target, unsigned& status)
    {
        const std::lock_guard lock(mutex_);
        const auto found = items_.find(parameter(target, "key"));
        if (found == items_.end()) {
            status = 404;
            return "{}";
        }
        return "{" +
               item_text(found->first, found->second.value,
                         found->second.revision) +
               ",\"storeRevision\":" + std::to_string(revision_) + "}";
    }

    // Pages of at most 500 items or about 1 MB.
    std::string answer_range(const std::string& target)
    {
        const std::lock_guard lock(mutex_);
        const auto prefix = parameter(target, "prefix");
        const auto after = parameter(target, "after");
        std::string list;
        std::size_t count = 0;
        bool more = false;
        for (const auto& [key, each] : items_) {
            if (key.rfind(prefix, 0) != 0 || key <= after) {
                continue;
            }
            if (count == 500 || list.size() > 1000000) {
                more = true;
                break;
            }
            list += (count++ > 0 ? ",{" : "{") +
                    item_text(key, each.value, each.revision) + "}";
        }
        return "{\"items\":[" + list +
               "],\"morePages\":" + (more ? "true" : "false") +
               ",\"storeRevision\":" + std::to_string(revision_) + "}";
    }

    std::string answer_watch(const std::string& target, unsigned& status)
    {
        const auto prefix = parameter(target, "prefix");
        const auto after =
            std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto until =
            steady::now() +
            milliseconds{
                std::strtol(parameter(target, "waitMs").c_str(), nullptr, 10)};
        std::unique_lock lock(mutex_);
        for (;;) {
            while (!history_.empty() && steady::now() - history_.front().at >
                                            milliseconds{history_ms}) {
                forgotten_ = history_.front().revision;
                history_.pop_front();
            }
            if (away_) {
                status = 503;
                return "{}";
            }
            if (after < forgotten_ || after > revision_) {
                status = 410;
                return "{}";
            }
            std::string list;
            auto shown = revision_;
            for (const auto& each : history_) {
                if (watch_bytes > 0 && list.size() > watch_bytes) {
                    break;
                }
                if (each.revision <= after || each.key.rfind(prefix, 0) != 0) {
                    continue;
                }
                list += list.empty() ? "{" : ",{";
                list += each.removed
                            ? "\"key\":\"" + each.key + "\",\"revision\":" +
                                  std::to_string(each.revision) +
                                  ",\"removed\":true"
                            : item_text(each.key, each.value, each.revision);
                list += "}";
                if (watch_bytes > 0) {
                    shown = each.revision;
                }
            }
            if (!list.empty() || steady::now() >= until) {
                return "{\"events\":[" + list +
                       "],\"storeRevision\":" + std::to_string(shown) + "}";
            }
            changed_.wait_until(
                lock, std::min(until, steady::now() + milliseconds{100}));
        }
    }

    void serve(int socket)
    {
        reader from(socket);
        while (const auto asked = from.read()) {
            unsigned status = 200;
            std::string body = "{}";
            const auto target = asked->target();
            if (away_) {
                status = 503;
            } else if (target.rfind("/kv-key", 0) == 0) {
                body = answer_key(target, status);
            } else if (target.rfind("/kv-range", 0) == 0) {
                body = answer_range(target);
            } else if (target.rfind("/kv-watch", 0) == 0) {
                body = answer_watch(target, status);
            } else {
                status = 404;
            }
            if (!send_all(socket,
                          answer_text(status, status == 200 ? "OK" : "Status",
                                      {{"Content-Type", "application/json"},
                                       {"Store-Era", std::to_string(era_)}},
                                      body))) {
                return;
            }
        }
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::deque<change> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t forgotten_ = 0;
    std::map<std::string, item> copied_items_;
    std::uint64_t copied_revision_ = 0;
    std::atomic<bool> away_{false};
    std::atomic<unsigned> era_{0};
    acceptor acceptor_;
};

inline std::string server_entry(const std::string& service, const address& at,
                                const std::string& zone, unsigned slots,
                                const std::string& state = "ready")
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + at.text() +
           "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"coldRemainingMs\":0,\"born\":1700000000000,\"sequence\":1}";
}

inline std::string service_text(const std::string& name, unsigned connections)
{
    return "{\"name\":\"" + name +
           "\",\"healthPath\":\"/health\",\"maxConnections\":" +
           std::to_string(connections) + ",\"protocol\":\"h1\",\"tls\":false}";
}

inline std::string limits_text()
{
    return "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
           "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}";
}

// An installation's network: one loopback address a machine, drawn at random,
// so that runs side by side don't collide.
class network
{
public:
    network()
    {
        std::random_device seed;
        const unsigned draw = seed();
        prefix_ = "127." + std::to_string(16 + draw % 200) + "." +
                  std::to_string(draw / 256 % 250) + ".";
    }
    address next(std::uint16_t port)
    {
        return {prefix_ + std::to_string(++last_), port};
    }

private:
    std::string prefix_;
    unsigned last_ = 0;
};

// A daemon under test, started with the command of deploy/system.toml.
struct daemon {
    std::string name;
    std::string zone;
    std::string ip;
    pid_t process = -1;
    address front() const { return {ip, 8226}; }
    address readiness() const { return {ip, 8227}; }
    address control() const { return {ip, 8224}; }
    address directory() const { return {ip, 8225}; }
};

struct fleet {
    std::string folder; // temporary: settings and logs
    std::string program;
    address platform;
    std::vector<daemon> daemons;
    std::vector<std::string> zones;

    std::string settings_path(const daemon& of) const
    {
        return folder + "/" + of.name + ".conf";
    }

    void write_settings(const daemon& of) const
    {
        std::string seeds;
        for (std::size_t i = 0; i < std::min<std::size_t>(3, daemons.size());
             ++i) {
            seeds += (i > 0 ? "," : "") + daemons[i].control().text();
        }
        std::ofstream file(settings_path(of));
        file << "nodeName=" << of.name << "\nrole=entry\nmachineClass=front"
             << "\nserves=front,control,directory\nip=" << of.ip
             << "\nzone=" << of.zone << "\nregion=semenanjung\n";
        for (const auto& zone : zones) {
            file << "zones." << zone << "=semenanjung\n";
        }
        file << "listen.front=" << of.front().text()
             << "\nlisten.readinessAddress=" << of.readiness().text()
             << "\nlisten.control=" << of.control().text()
             << "\nlisten.directory=" << of.directory().text()
             << "\ninternalPortRange=7740,7755\nseeds=" << seeds
             << "\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.17"
             << "\nlimits.cores=1\nlimits.memoryMb=182\nlimits.maxFds=2870"
             << "\nlimits.linkMbps=700.0\nlimits.diskMb=0"
             << "\ndiscovery=platform\nentry=directory\nheartbeatMs=1200"
             << "\ncontracts=base,drain,config,cost,retry,recover,scatter,"
                "platform"
             << "\nfaultTolerance.machines=2\nfaultTolerance.zones=0"
             << "\nfaultTolerance.regions=0\nbounds.seedLagS=3"
             << "\nbounds.addrReuseS=2\nbounds.stabilityWindowMs=4000"
             << "\nbounds.ackTimeoutMs=5000\nbounds.catchUpS=4"
             << "\nbounds.drainMs=3000\nbounds.graceS=6"
             << "\nbounds.lossSlackMs=200\nbounds.configApplyMs=3000"
             << "\nbounds.downgradeSlackMs=250\nbounds.outerMs=12000"
             << "\nbounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10"
             << "\nbounds.retryBudgetSlack=116\nbounds.recoveryS=12"
             << "\nbounds.ttl_max_s=5\nplatform.address=" << platform.text()
             << "\nplatform.form=read\nplatform.writesPerS=400"
             << "\nplatform.readsPerS=2000\nplatform.historyS=20"
             << "\nplatform.valueBytes=1048576\nplatform.minTtlMs=1000\n";
    }

    void start(daemon& which) const
    {
        write_settings(which);
        const auto settings = "BULRUSHSPRING_SETTINGS=" + settings_path(which);
        const auto log = folder + "/" + which.name + ".log";
        which.process = fork();
        if (which.process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // ends with the stand-in
            const int to =
                open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(to, STDOUT_FILENO);
            dup2(to, STDERR_FILENO);
            char* const environment[] = {const_cast<char*>(settings.c_str()),
                                         nullptr};
            execle(program.c_str(), program.c_str(), "--metrics_port=9790",
                   nullptr, environment);
            _exit(127);
        }
    }

    void stop_all()
    {
        for (auto& each : daemons) {
            if (each.process > 0) {
                kill(each.process, SIGKILL);
                waitpid(each.process, nullptr, 0);
                each.process = -1;
            }
        }
    }
};

// One request on a connection of its own or a kept one. Status 0: the
// connection ended, or the time limit passed, without an answer.
struct client_result {
    unsigned status = 0;
    bool timed_out = false;
    message answer;
};

inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& host, const std::string& id,
                                long deadline_ms, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nAttempt-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\n";
    if (method != "GET" || !body.empty()) {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

class client
{
public:
    explicit client(address to) : to_(std::move(to)) {}
    ~client() { disconnect(); }
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    client_result ask(const std::string& request, long timeout_ms)
    {
        client_result result;
        if (socket_ < 0) {
            socket_ = connect_to(to_);
            if (socket_ < 0) {
                return result;
            }
            reader_.emplace(socket_);
        }
        if (!send_all(socket_, request)) {
            disconnect();
            return result;
        }
        auto answer = reader_->read(timeout_ms);
        result.timed_out = reader_->timed_out;
        if (!answer) {
            disconnect();
            return result;
        }
        result.status = answer->status();
        const bool closes = lower(answer->header("connection")) == "close";
        result.answer = std::move(*answer);
        if (closes) {
            disconnect();
        }
        return result;
    }

    void disconnect()
    {
        if (socket_ >= 0) {
            close(socket_);
        }
        socket_ = -1;
        reader_.reset();
    }

private:
    address to_;
    int socket_ = -1;
    std::optional<reader> reader_;
};

inline bool is_ready(const daemon& which)
{
    client asks(which.readiness());
    return asks.ask("GET /ready HTTP/1.1\r\nHost: " + which.readiness().text() +
                        "\r\n\r\n",
                    1000)
               .status == 200;
}

inline bool await_ready(const fleet& of, long timeout_ms)
{
    const auto until = steady::now() + milliseconds{timeout_ms};
    while (steady::now() < until) {
        if (std::all_of(of.daemons.begin(), of.daemons.end(),
                        [](const auto& each) { return is_ready(each); })) {
            return true;
        }
        sleep_ms(100);
    }
    return false;
}

// A new temporary folder, removed by the caller's shell script.
inline std::string make_folder()
{
    const char* base = std::getenv("CASE_FOLDER");
    if (base == nullptr) {
        std::fprintf(stderr, "CASE_FOLDER is not set\n");
        std::exit(2);
    }
    return base;
}

inline bool disturbs()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string_view(value) != "0";
}

} // namespace review

#endif
