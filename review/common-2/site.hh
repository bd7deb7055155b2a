// A small installation on loopback addresses for the cases of review 2: a
// store, leafs and callers as stand-ins that follow the users' pages, and
// daemons that are started as separate processes.
#ifndef REVIEW_2_SITE_HH
#define REVIEW_2_SITE_HH

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <set>
#include <string>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review
{

using steady = std::chrono::steady_clock;

inline double now_s()
{
    static const auto begun = steady::now();
    return std::chrono::duration<double>(steady::now() - begun).count();
}

inline void sleep_s(double seconds)
{
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

// The file record.txt beside the case: what was sent, answered and run.
class record
{
public:
    explicit record(const std::string& path) : file_(std::fopen(path.c_str(), "w"))
    {
    }
    ~record()
    {
        if (file_ != nullptr) {
            std::fclose(file_);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3)))
    {
        std::lock_guard lock(mutex_);
        std::fprintf(file_, "%9.3f ", now_s());
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    FILE* file_;
};

struct address {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in to_socket_address(const address& of)
{
    sockaddr_in made{};
    made.sin_family = AF_INET;
    made.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &made.sin_addr);
    return made;
}

// A listening socket; -1 if the address is in use.
inline int listen_at(const address& at)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto where = to_socket_address(at);
    if (bind(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0 ||
        listen(made, 1024) != 0) {
        ::close(made);
        return -1;
    }
    return made;
}

// Connects within a second; -1 if that fails.
inline int connect_to(const address& to, int timeout_ms = 1000)
{
    const int made = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const auto where = to_socket_address(to);
    if (connect(made, reinterpret_cast<const sockaddr*>(&where), sizeof where) != 0) {
        pollfd wait{made, POLLOUT, 0};
        int failure = errno == EINPROGRESS ? 0 : errno;
        socklen_t size = sizeof failure;
        if (failure != 0 || poll(&wait, 1, timeout_ms) != 1 ||
            getsockopt(made, SOL_SOCKET, SO_ERROR, &failure, &size) != 0 ||
            failure != 0) {
            ::close(made);
            return -1;
        }
    }
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    fcntl(made, F_SETFL, fcntl(made, F_GETFL) & ~O_NONBLOCK);
    return made;
}

inline bool send_all(int to, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(to, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

struct message {
    std::string start; // the first line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return "";
    }
    std::string target() const
    {
        const auto from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

enum class read_end { whole, closed, late };

// Reads one message with a stated length from the socket. `buffer` keeps what
// follows it.
inline read_end read_message(int from, std::string& buffer, message& into,
                             double until)
{
    const auto fill = [&] {
        const double left = until - now_s();
        if (left <= 0) {
            return read_end::late;
        }
        pollfd wait{from, POLLIN, 0};
        if (poll(&wait, 1, std::max(1, static_cast<int>(left * 1000))) == 0) {
            return read_end::late;
        }
        char bytes[16384];
        const auto n = ::recv(from, bytes, sizeof bytes, 0);
        if (n <= 0) {
            return read_end::closed;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
        return read_end::whole;
    };
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (const auto state = fill(); state != read_end::whole) {
            return state;
        }
    }
    into = {};
    std::size_t at = buffer.find("\r\n");
    into.start = buffer.substr(0, at);
    while (at < end) {
        const auto next = buffer.find("\r\n", at + 2);
        const auto field = buffer.substr(at + 2, next - at - 2);
        const auto colon = field.find(':');
        auto value = colon == std::string::npos ? "" : field.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos
                           ? value.size()
                           : value.find_first_not_of(' '));
        into.headers.emplace_back(field.substr(0, colon), value);
        at = next;
    }
    const auto length = std::strtoul(into.header("Content-Length").c_str(), nullptr, 10);
    while (buffer.size() < end + 4 + length) {
        if (const auto state = fill(); state != read_end::whole) {
            return state;
        }
    }
    into.body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return read_end::whole;
}

// Serves each connection in a thread of its own until it ends.
class server
{
public:
    using serve_function = std::function<void(int socket)>;
    server(const address& at, serve_function serve)
        : at_(at), socket_(listen_at(at)), serve_(std::move(serve))
    {
        if (socket_ < 0) {
            std::perror(at.text().c_str());
            std::exit(2);
        }
        std::thread([this] { accept_all(); }).detach();
    }
    const address& where() const { return at_; }

private:
    void accept_all()
    {
        for (;;) {
            const int made = accept4(socket_, nullptr, nullptr, SOCK_CLOEXEC);
            if (made < 0) {
                sleep_s(0.01);
                continue;
            }
            const int on = 1;
            setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, made] {
                serve_(made);
                ::close(made);
            }).detach();
        }
    }
    address at_;
    int socket_;
    serve_function serve_;
};

inline std::string base64(const std::string& plain)
{
    static const char* digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < plain.size(); i += 3) {
        std::uint32_t bits = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            bits = bits << 8 |
                   (i + k < plain.size() ? static_cast<unsigned char>(plain[i + k]) : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += i + k > plain.size() ? '=' : digits[bits >> (18 - 6 * k) & 63];
        }
    }
    return text;
}

inline std::string query_value(const std::string& target, const std::string& name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos) {
        return "";
    }
    const auto from = at + name.size() + 1;
    auto value = target.substr(from, target.find('&', from) - from);
    for (std::size_t mark; (mark = value.find("%2F")) != std::string::npos;) {
        value.replace(mark, 3, "/");
    }
    return value;
}

// The platform's store: it loses nothing, and answers are linearizable.
class store
{
public:
    explicit store(const address& at) : server_(at, [this](int socket) { serve(socket); }) {}
    const address& where() const { return server_.where(); }
    void put(const std::string& key, const std::string& value)
    {
        std::lock_guard lock(mutex_);
        ++revision_;
        items_[key] = {value, revision_};
        history_.push_back({key, value, revision_, false});
        changed_.notify_all();
    }
    void remove(const std::string& key)
    {
        std::lock_guard lock(mutex_);
        ++revision_;
        items_.erase(key);
        history_.push_back({key, "", revision_, true});
        changed_.notify_all();
    }

private:
    struct item {
        std::string value;
        std::uint64_t revision;
    };
    struct event {
        std::string key;
        std::string value;
        std::uint64_t revision;
        bool removed;
    };
    static std::string item_json(const std::string& key, const std::string& value,
                                 std::uint64_t revision)
    {
        const auto number = std::to_string(revision);
        return "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) +
               "\",\"revision\":" + number + ",\"created\":" + number + ",\"lease\":0}";
    }
    // A page of at most 500 items or about 1 MB.
    std::string range(const std::string& prefix, const std::string& after)
    {
        std::lock_guard lock(mutex_);
        std::string list;
        std::size_t items = 0;
        std::size_t bytes = 0;
        bool more = false;
        for (const auto& [key, each] : items_) {
            if (key.compare(0, prefix.size(), prefix) != 0 || key <= after) {
                continue;
            }
            if (items > 0 && (items == 500 || bytes + each.value.size() > 1000000)) {
                more = true;
                break;
            }
            ++items;
            bytes += each.value.size();
            list += (list.empty() ? "" : ",") + item_json(key, each.value, each.revision);
        }
        return "{\"items\":[" + list + "],\"morePages\":" + (more ? "true" : "false") +
               ",\"storeRevision\":" + std::to_string(revision_) + "}";
    }
    std::string watch(std::uint64_t after, double wait)
    {
        std::unique_lock lock(mutex_);
        changed_.wait_for(lock, std::chrono::duration<double>(wait),
                          [&] { return revision_ > after; });
        std::string list;
        for (const auto& each : history_) {
            if (each.revision > after) {
                list += list.empty() ? "" : ",";
                list += each.removed ? "{\"key\":\"" + each.key + "\",\"revision\":" +
                                           std::to_string(each.revision) + ",\"removed\":true}"
                                     : item_json(each.key, each.value, each.revision);
            }
        }
        return "{\"events\":[" + list + "],\"storeRevision\":" + std::to_string(revision_) + "}";
    }
    void serve(int socket)
    {
        std::string buffer;
        message asked;
        while (read_message(socket, buffer, asked, now_s() + 120) == read_end::whole) {
            const auto target = asked.target();
            std::string body;
            if (target.find("/kv-range") == 0) {
                body = range(query_value(target, "prefix"), query_value(target, "after"));
            } else if (target.find("/kv-watch") == 0) {
                body = watch(std::strtoull(query_value(target, "after").c_str(), nullptr, 10),
                             std::atof(query_value(target, "waitMs").c_str()) / 1000);
            }
            if (!send_all(socket, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                  "Content-Length: " +
                                      std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<event> history_;
    std::uint64_t revision_ = 10;
    server server_;
};

// A leaf that runs each request for `work` seconds and answers with its seal
// and the request's id.
class leaf
{
public:
    leaf(std::string id, std::string service, const address& at, double work)
        : id(std::move(id)), service(std::move(service)), work(work),
          server_(at, [this](int socket) { serve(socket); })
    {
    }
    std::string entry() const
    {
        return "{\"service\":\"" + service + "\",\"address\":\"" + server_.where().text() +
               "\",\"zone\":\"z1\",\"version\":\"v1\",\"slots\":32,\"state\":\"ready\","
               "\"coldRemainingMs\":0,\"sequence\":1,\"born\":1700000000000}";
    }
    // Called when it begins to run a request, before its answer.
    std::function<void(const message&)> on_run;
    std::string id;
    std::string service;
    double work;
    std::atomic<int> runs{0};

private:
    void serve(int socket)
    {
        std::string buffer;
        message asked;
        while (read_message(socket, buffer, asked, now_s() + 60) == read_end::whole) {
            const auto request = asked.header("Attempt-Id");
            const bool health = asked.target() == "/health";
            if (!health && asked.header("Target-Instance") != id) {
                if (!send_all(socket, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id +
                                          "\r\nContent-Length: 0\r\n\r\n")) {
                    return;
                }
                continue;
            }
            if (!health) {
                ++runs;
                if (on_run) {
                    on_run(asked);
                }
                sleep_s(work);
            }
            const std::string body = health ? "" : "answer to " + request;
            if (!send_all(socket,
                          "HTTP/1.1 200 OK\r\n" +
                              (health ? "Instance-Id: " + id
                                      : "Attempt-Id: " + request + "\r\nServer-Seal: " + id + "." +
                                            request) +
                              "\r\nKeep-Alive: timeout=30\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body)) {
                return;
            }
        }
    }
    server server_;
};

// A daemon process, started as the deploy file says.
class entry_daemon
{
public:
    entry_daemon(const std::string& folder, const std::string& name, const std::string& ip,
           const std::string& seeds, const address& store, int memory_mb = 182,
           int descriptors = 2870)
        : ip(ip), name(name), folder_(folder), descriptors_(descriptors)
    {
        std::ofstream file(settings());
        file << "nodeName=" << name << "\nrole=entry\nmachineClass=front\n"
             << "serves=front,control,directory\nip=" << ip << "\nzone=z1\nregion=r1\n"
             << "zones.z1=r1\nlisten.front=" << ip << ":8226\nlisten.readinessAddress=" << ip
             << ":8227\nlisten.control=" << ip << ":8224\nlisten.directory=" << ip
             << ":8225\ninternalPortRange=7740,7755\nseeds=" << seeds
             << "\nbootstrap=true\nlimits.cpuShare=0.17\nlimits.cores=1\nlimits.memoryMb="
             << memory_mb << "\nlimits.maxFds=" << descriptors
             << "\nlimits.linkMbps=700.0\ndiscovery=platform\nentry=directory\n"
                "heartbeatMs=1200\ncontracts=base,drain,config,cost,retry,recover,scatter,"
                "platform\nbounds.stabilityWindowMs=4000\nbounds.ackTimeoutMs=5000\n"
                "bounds.drainMs=3000\nbounds.graceS=6\nbounds.lossSlackMs=200\n"
                "bounds.configApplyMs=3000\nbounds.downgradeSlackMs=250\n"
                "bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\n"
                "bounds.retryBudgetSlack=126\nbounds.recoveryS=12\nbounds.ttl_max_s=5\n"
             << "platform.address=" << store.text()
             << "\nplatform.form=read\nplatform.readsPerS=2000\nplatform.historyS=20\n"
                "platform.valueBytes=1048576\n";
    }
    ~entry_daemon() { kill_and_wait(); }
    entry_daemon(const entry_daemon&) = delete;
    entry_daemon& operator=(const entry_daemon&) = delete;

    void start()
    {
        const auto log = folder_ + "/" + name + ".log";
        process = fork();
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // never outlives the case
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(out, 1);
            dup2(out, 2);
            const rlimit limit{static_cast<rlim_t>(descriptors_),
                               static_cast<rlim_t>(descriptors_)};
            setrlimit(RLIMIT_NOFILE, &limit);
            setenv("BULRUSHSPRING_SETTINGS", settings().c_str(), 1);
            execl("target/bulrushspring-platformd", "target/bulrushspring-platformd",
                  "--metrics_port=9790", static_cast<char*>(nullptr));
            _exit(127);
        }
    }
    bool runs() const { return process > 0 && waitpid(process, nullptr, WNOHANG) == 0; }
    void kill_and_wait()
    {
        if (process > 0) {
            kill(process, SIGKILL);
            waitpid(process, nullptr, 0);
            process = -1;
        }
    }
    address front() const { return {ip, 8226}; }
    address ready() const { return {ip, 8227}; }
    address control() const { return {ip, 8224}; }
    address directory() const { return {ip, 8225}; }
    // A line of /proc/PID/status in kB, such as VmHWM.
    long status_kb(const std::string& key) const
    {
        std::ifstream file("/proc/" + std::to_string(process) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.compare(0, key.size() + 1, key + ":") == 0) {
                return std::atol(line.c_str() + key.size() + 1);
            }
        }
        return -1;
    }
    std::string ip;
    std::string name;
    pid_t process = -1;

private:
    std::string settings() const { return folder_ + "/" + name + ".conf"; }
    std::string folder_;
    int descriptors_;
};

// The outcome of one request of an ordinary caller.
struct outcome {
    int status = 0; // 0: no answer
    double took = 0;
    message answer;
};

// Sends one request on a new connection, as the pages' clients do.
inline outcome ask(const address& to, const std::string& host, const std::string& target,
                   const std::string& id, int deadline_ms, double wait_s,
                   const std::string& method = "GET", const std::string& body = "")
{
    outcome made;
    const double begun = now_s();
    const int socket = connect_to(to);
    if (socket >= 0) {
        std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: " +
                           id + "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n";
        if (method != "GET") {
            text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        }
        std::string buffer;
        if (send_all(socket, text + "\r\n" + body) &&
            read_message(socket, buffer, made.answer, begun + wait_s) == read_end::whole) {
            made.status = made.answer.status();
        }
        ::close(socket);
    }
    made.took = now_s() - begun;
    return made;
}

// An ordinary caller that keeps its connection for its next request.
class caller
{
public:
    explicit caller(address to) : to_(std::move(to)) {}
    ~caller() { leave(); }
    caller(const caller&) = delete;
    caller& operator=(const caller&) = delete;

    // Sends a request and waits for its answer. Gives up its connection if
    // there is none in time.
    outcome get(const std::string& host, const std::string& target, const std::string& id,
                int deadline_ms, double wait_s)
    {
        outcome made;
        const double begun = now_s();
        if (socket_ < 0) {
            socket_ = connect_to(to_);
            buffer_.clear();
        }
        if (socket_ >= 0 &&
            send_all(socket_, "GET " + target + " HTTP/1.1\r\nHost: " + host +
                                  "\r\nAttempt-Id: " + id +
                                  "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                                  "\r\n\r\n") &&
            read_message(socket_, buffer_, made.answer, begun + wait_s) == read_end::whole) {
            made.status = made.answer.status();
        }
        if (made.status == 0 || made.answer.header("Connection") == "close") {
            leave();
        }
        made.took = now_s() - begun;
        return made;
    }

private:
    void leave()
    {
        if (socket_ >= 0) {
            ::close(socket_);
            socket_ = -1;
        }
    }
    address to_;
    int socket_ = -1;
    std::string buffer_;
};

// A folder for settings and logs, removed at the end.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string made = std::filesystem::temp_directory_path() / "review-2-XXXXXX";
        path = mkdtemp(made.data());
    }
    ~temporary_folder()
    {
        if (std::getenv("KEEP") == nullptr) {
            std::filesystem::remove_all(path);
        } else {
            std::fprintf(stderr, "kept %s\n", path.c_str());
        }
    }
    std::string path;
};

// Loopback addresses of this run, 127.A.B.1 and up, with A and B of the process.
inline std::string loopback(int number)
{
    const auto of = static_cast<int>(getpid());
    return "127." + std::to_string(20 + of / 250 % 200) + "." + std::to_string(1 + of % 250) +
           "." + std::to_string(number);
}

inline bool with_trouble()
{
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

inline const char* limits_json =
    "{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
    "\"idleTimeoutMs\":15000}";

// A configuration with one route, /s/, to the service.
inline std::string one_route(int timeout_ms, const std::string& version = "7",
                             const std::string& service = "single")
{
    return "{\"version\":" + version + ",\"routes\":[{\"name\":\"s\",\"host\":\"site.example\","
           "\"prefix\":\"/s/\",\"kind\":\"safe\",\"timeoutMs\":" +
           std::to_string(timeout_ms) +
           ",\"targetLatencyMs\":500,\"priority\":1,\"service\":\"" +
           service +
           "\",\"maxAttempts\":2}],\"services\":[{\"name\":\"single\",\"healthPath\":"
           "\"/health\",\"maxConnections\":90,\"protocol\":\"h1\",\"tls\":false},"
           "{\"name\":\"second\",\"healthPath\":\"/health\",\"maxConnections\":90,"
           "\"protocol\":\"h1\",\"tls\":false}],"
           "\"limits\":" +
           std::string(limits_json) + "}";
}

// Sends bytes on a new connection and reads one answer.
inline outcome exchange(const address& to, const std::string& bytes, double wait_s)
{
    outcome made;
    const double begun = now_s();
    const int socket = connect_to(to);
    if (socket >= 0) {
        std::string buffer;
        if (send_all(socket, bytes) &&
            read_message(socket, buffer, made.answer, begun + wait_s) == read_end::whole) {
            made.status = made.answer.status();
        }
        ::close(socket);
    }
    made.took = now_s() - begun;
    return made;
}

// Waits until the daemon serves the route /s/.
inline bool serves(const entry_daemon& entry)
{
    for (int i = 0; i < 100; ++i) {
        sleep_s(0.1);
        if (ask(entry.front(), "site.example", "/s/start", "start" + std::to_string(i), 1000, 1)
                .status == 200) {
            return true;
        }
    }
    return false;
}

} // namespace review

#endif
