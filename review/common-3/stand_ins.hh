// Stand-ins for the store, leafs and callers, and the start of the daemon, for
// the cases 11 to 15. Header only; needs nothing but POSIX and threads.
#ifndef BULRUSHSPRING_REVIEW_COMMON_3_STAND_INS_HH
#define BULRUSHSPRING_REVIEW_COMMON_3_STAND_INS_HH

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <sstream>
#include <string>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace review3
{

using clock_type = std::chrono::steady_clock;
using time_point = clock_type::time_point;
using milliseconds = std::chrono::milliseconds;

inline const time_point& run_start()
{
    static const time_point start = clock_type::now();
    return start;
}

inline double now_s()
{
    return std::chrono::duration<double>(clock_type::now() - run_start())
        .count();
}

// ---- the record of a run ----

class record
{
public:
    explicit record(const std::string& path) : file_(path) { run_start(); }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[2048];
        va_list arguments;
        va_start(arguments, format);
        vsnprintf(text, sizeof text, format, arguments);
        va_end(arguments);
        const std::lock_guard guard(lock_);
        char stamp[32];
        snprintf(stamp, sizeof stamp, "%8.3f ", now_s());
        file_ << stamp << text << '\n';
        file_.flush();
    }

private:
    std::mutex lock_;
    std::ofstream file_;
};

// ---- sockets ----

inline sockaddr_in to_address(const std::string& ip, int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

inline int listen_on(const std::string& ip, int port, int& bound_port)
{
    const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(made, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = to_address(ip, port);
    if (bind(made, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
            0 ||
        listen(made, 1024) != 0) {
        close(made);
        return -1;
    }
    socklen_t size = sizeof address;
    getsockname(made, reinterpret_cast<sockaddr*>(&address), &size);
    bound_port = ntohs(address.sin_port);
    return made;
}

// A port that is free now at the address, for TCP and for UDP.
inline int free_port(const std::string& ip)
{
    for (int i = 0; i < 50; ++i) {
        int port = 0;
        const int tcp = listen_on(ip, 0, port);
        if (tcp < 0) {
            return -1;
        }
        const int udp = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
        auto address = to_address(ip, port);
        const bool free = bind(udp, reinterpret_cast<sockaddr*>(&address),
                               sizeof address) == 0;
        close(udp);
        close(tcp);
        if (free) {
            return port;
        }
    }
    return -1;
}

// Connects within the time limit; -1 if that fails.
inline int connect_to(const std::string& ip, int port, int timeout_ms)
{
    const int made =
        socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto address = to_address(ip, port);
    const int on = 1;
    setsockopt(made, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    if (connect(made, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
        0) {
        pollfd waits{made, POLLOUT, 0};
        int failed = 0;
        socklen_t size = sizeof failed;
        if (errno != EINPROGRESS || poll(&waits, 1, timeout_ms) != 1 ||
            getsockopt(made, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
            failed != 0) {
            close(made);
            return -1;
        }
    }
    return made;
}

// Sends all bytes before the time limit.
inline bool send_all(int socket, std::string_view bytes, int timeout_ms)
{
    const auto until = clock_type::now() + milliseconds{timeout_ms};
    while (!bytes.empty()) {
        const auto sent = send(socket, bytes.data(), bytes.size(),
                               MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            bytes.remove_prefix(static_cast<std::size_t>(sent));
            continue;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(
            until - clock_type::now());
        if ((sent < 0 && errno != EAGAIN && errno != EWOULDBLOCK) ||
            left.count() <= 0) {
            return false;
        }
        pollfd waits{socket, POLLOUT, 0};
        poll(&waits, 1, static_cast<int>(left.count()));
    }
    return true;
}

enum class read_result { message, closed, reset, timed_out, malformed };

inline const char* text_of(read_result result)
{
    switch (result) {
    case read_result::message:
        return "message";
    case read_result::closed:
        return "closed";
    case read_result::reset:
        return "reset";
    case read_result::timed_out:
        return "timed out";
    case read_result::malformed:
        return "malformed";
    }
    return "";
}

struct message {
    std::string start;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const char* name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name) == 0) {
                return value;
            }
        }
        return "";
    }
    int status() const
    {
        return start.size() > 12 ? atoi(start.c_str() + 9) : 0;
    }
    std::string target() const
    {
        const auto first = start.find(' ');
        return start.substr(first + 1, start.rfind(' ') - first - 1);
    }
    std::string path() const
    {
        const auto whole = target();
        return whole.substr(0, whole.find('?'));
    }
    std::string query(const std::string& name) const
    {
        const auto whole = target();
        const auto mark = whole.find('?');
        if (mark == std::string::npos) {
            return "";
        }
        std::istringstream parts(whole.substr(mark + 1));
        std::string part;
        while (std::getline(parts, part, '&')) {
            const auto equals = part.find('=');
            if (part.substr(0, equals) == name && equals != std::string::npos) {
                return part.substr(equals + 1);
            }
        }
        return "";
    }
};

// Reads more bytes into the buffer.
inline read_result read_more(int socket, std::string& buffer, time_point until)
{
    for (;;) {
        char chunk[16384];
        const auto got = recv(socket, chunk, sizeof chunk, MSG_DONTWAIT);
        if (got > 0) {
            buffer.append(chunk, static_cast<std::size_t>(got));
            return read_result::message;
        }
        if (got == 0) {
            return read_result::closed;
        }
        if (errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR) {
            return read_result::reset;
        }
        const auto left = std::chrono::duration_cast<milliseconds>(
            until - clock_type::now());
        if (left.count() <= 0) {
            return read_result::timed_out;
        }
        pollfd waits{socket, POLLIN, 0};
        poll(&waits, 1, static_cast<int>(std::min<long>(left.count() + 1, 50)));
    }
}

inline std::string trimmed(const std::string& text)
{
    const auto first = text.find_first_not_of(" \t");
    return first == std::string::npos
               ? ""
               : text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

// Reads one message with a Content-Length, or in chunks. `begun` is set once
// the first byte has arrived.
inline read_result read_message(int socket, std::string& buffer, message& into,
                                time_point until, bool* begun = nullptr)
{
    into = {};
    std::size_t end = 0;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (begun != nullptr) {
            *begun = !buffer.empty();
        }
        const auto read = read_more(socket, buffer, until);
        if (read != read_result::message) {
            return read;
        }
    }
    if (begun != nullptr) {
        *begun = true;
    }
    std::size_t at = buffer.find("\r\n");
    into.start = buffer.substr(0, at);
    while (at < end) {
        const auto next = buffer.find("\r\n", at + 2);
        const auto line = buffer.substr(at + 2, next - at - 2);
        const auto colon = line.find(':');
        if (colon == std::string::npos) {
            return read_result::malformed;
        }
        into.headers.emplace_back(line.substr(0, colon),
                                  trimmed(line.substr(colon + 1)));
        at = next;
    }
    buffer.erase(0, end + 4);
    if (into.header("transfer-encoding") == "chunked") {
        for (;;) {
            std::size_t line_end = 0;
            while ((line_end = buffer.find("\r\n")) == std::string::npos) {
                const auto read = read_more(socket, buffer, until);
                if (read != read_result::message) {
                    return read;
                }
            }
            const auto size = strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < line_end + 2 + size + 2) {
                const auto read = read_more(socket, buffer, until);
                if (read != read_result::message) {
                    return read;
                }
            }
            into.body += buffer.substr(line_end + 2, size);
            buffer.erase(0, line_end + 2 + size + 2);
            if (size == 0) {
                return read_result::message;
            }
        }
    }
    const auto length = strtoul(into.header("content-length").c_str(),
                                nullptr, 10);
    while (buffer.size() < length) {
        const auto read = read_more(socket, buffer, until);
        if (read != read_result::message) {
            return read;
        }
    }
    into.body = buffer.substr(0, length);
    buffer.erase(0, length);
    return read_result::message;
}

// ---- servers: one thread for each connection ----

class server
{
public:
    using handler = std::function<void(int socket)>;

    server(const std::string& ip, handler handle, int port = 0)
        : handle_(std::move(handle))
    {
        listening_ = listen_on(ip, port, port_);
        thread_ = std::thread([this] { accept_all(); });
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    bool works() const { return listening_ >= 0; }
    int port() const { return port_; }

    // Closes the listening socket and all connections.
    void stop()
    {
        if (stopped_.exchange(true)) {
            return;
        }
        thread_.join();
        close(listening_);
        {
            const std::lock_guard guard(lock_);
            for (const int each : open_) {
                shutdown(each, SHUT_RDWR);
            }
        }
        for (auto& each : threads_) {
            each.join();
        }
    }
    bool stopped() const { return stopped_; }

private:
    void accept_all()
    {
        while (!stopped_) {
            pollfd waits{listening_, POLLIN, 0};
            if (listening_ < 0 || poll(&waits, 1, 20) != 1) {
                if (listening_ < 0) {
                    usleep(20000);
                }
                continue;
            }
            const int socket = accept4(listening_, nullptr, nullptr,
                                       SOCK_CLOEXEC);
            if (socket < 0) {
                continue;
            }
            const int on = 1;
            setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            const std::lock_guard guard(lock_);
            open_.push_back(socket);
            threads_.emplace_back([this, socket] {
                handle_(socket);
                const std::lock_guard held(lock_);
                std::erase(open_, socket);
                close(socket);
            });
        }
    }

    handler handle_;
    int listening_ = -1;
    int port_ = 0;
    std::atomic<bool> stopped_{false};
    std::mutex lock_;
    std::vector<int> open_;
    std::vector<std::thread> threads_;
    std::thread thread_;
};

inline std::string answer_text(const std::string& status,
                               const std::string& headers,
                               const std::string& body)
{
    return "HTTP/1.1 " + status + "\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// ---- the store ----

inline std::string base64(const std::string& bytes)
{
    static const char* const digits =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t k = 0; k < 3; ++k) {
            group = group << 8U |
                    (i + k < bytes.size()
                         ? static_cast<unsigned char>(bytes[i + k])
                         : 0U);
        }
        for (std::size_t k = 0; k < 4; ++k) {
            text += k <= bytes.size() - i ? digits[group >> (18 - 6 * k) & 63U]
                                          : '=';
        }
    }
    return text;
}

inline std::string percent_decoded(const std::string& text)
{
    std::string plain;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            plain += static_cast<char>(
                strtol(text.substr(i + 1, 2).c_str(), nullptr, 16));
            i += 2;
        } else {
            plain += text[i];
        }
    }
    return plain;
}

class store
{
public:
    explicit store(const std::string& ip)
        : server_(ip, [this](int socket) { serve(socket); })
    {
    }
    ~store()
    {
        stopping_ = true;
        changed_.notify_all();
        server_.stop();
    }

    int port() const { return server_.port(); }
    bool works() const { return server_.works(); }

    // Returns the revision of the write.
    std::uint64_t put(const std::string& key, const std::string& value)
    {
        const std::lock_guard guard(lock_);
        history_.push_back({key, value, ++revision_, false});
        items_[key] = history_.back();
        changed_.notify_all();
        return revision_;
    }
    std::uint64_t remove(const std::string& key)
    {
        const std::lock_guard guard(lock_);
        history_.push_back({key, "", ++revision_, true});
        items_.erase(key);
        changed_.notify_all();
        return revision_;
    }

private:
    struct item {
        std::string key;
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
    };

    static std::string json_of(const item& each)
    {
        if (each.removed) {
            return "{\"key\":\"" + each.key +
                   "\",\"revision\":" + std::to_string(each.revision) +
                   ",\"removed\":true}";
        }
        return "{\"key\":\"" + each.key + "\",\"value\":\"" +
               base64(each.value) +
               "\",\"revision\":" + std::to_string(each.revision) +
               ",\"created\":" + std::to_string(each.revision) +
               ",\"lease\":0}";
    }

    std::string answer(const std::string& fields)
    {
        return answer_text("200 OK", "Content-Type: application/json\r\n",
                           "{" + fields + ",\"storeRevision\":" +
                               std::to_string(revision_) + "}");
    }

    std::string range(const message& asked)
    {
        const std::lock_guard guard(lock_);
        const auto prefix = percent_decoded(asked.query("prefix"));
        const auto after = percent_decoded(asked.query("after"));
        std::string list;
        for (const auto& [key, each] : items_) {
            if (key.rfind(prefix, 0) == 0 && key > after) {
                list += (list.empty() ? "" : ",") + json_of(each);
            }
        }
        return answer("\"items\":[" + list + "],\"morePages\":false");
    }

    std::string watch(const message& asked)
    {
        std::unique_lock guard(lock_);
        const auto prefix = percent_decoded(asked.query("prefix"));
        const auto after =
            strtoull(asked.query("after").c_str(), nullptr, 10);
        const auto wait = strtol(asked.query("waitMs").c_str(), nullptr, 10);
        std::string list;
        changed_.wait_for(guard, milliseconds{std::min(wait, 30000L)}, [&] {
            list.clear();
            for (const auto& each : history_) {
                if (each.revision > after && each.key.rfind(prefix, 0) == 0) {
                    list += (list.empty() ? "" : ",") + json_of(each);
                }
            }
            return !list.empty() || stopping_;
        });
        return answer("\"events\":[" + list + "]");
    }

    void serve(int socket)
    {
        std::string buffer;
        message asked;
        while (!stopping_ &&
               read_message(socket, buffer, asked,
                            clock_type::now() + std::chrono::minutes{5}) ==
                   read_result::message) {
            const auto path = asked.path();
            const auto text = path == "/kv-range"   ? range(asked)
                              : path == "/kv-watch" ? watch(asked)
                                                    : answer_text(
                                                          "404 Not Found", "",
                                                          "");
            if (!send_all(socket, text, 5000)) {
                return;
            }
        }
    }

    std::mutex lock_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<item> history_;
    std::uint64_t revision_ = 100;
    std::atomic<bool> stopping_{false};
    server server_;
};

inline std::string leaf_entry(const std::string& service, const std::string& ip,
                              int port, const std::string& zone, int slots,
                              const std::string& state, int sequence)
{
    return "{\"service\":\"" + service + "\",\"address\":\"" + ip + ":" +
           std::to_string(port) + "\",\"zone\":\"" + zone +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots) +
           ",\"state\":\"" + state +
           "\",\"coldRemainingMs\":0,\"sequence\":" + std::to_string(sequence) +
           "}";
}

// ---- daemons ----

struct addresses {
    std::string ip;
    int front = 0;
    int ready = 0;
    int control = 0;
    int directory = 0;
};

inline addresses choose_addresses(const std::string& ip)
{
    return {ip, free_port(ip), free_port(ip), free_port(ip), free_port(ip)};
}

struct small_bounds {
    int memory_mb = 182;
    int grace_s = 6;
    int config_apply_ms = 3000;
};

// The settings file of DEPLOY.md with the figures of a small installation.
inline std::string settings_text(const std::string& name,
                                 const std::string& zone, const addresses& own,
                                 const std::string& store_ip, int store_port,
                                 const std::string& seeds,
                                 const small_bounds& bounds = {})
{
    std::ostringstream text;
    text << "nodeName=" << name << "\nrole=entry\nmachineClass=front\n"
         << "serves=front,control,directory\nip=" << own.ip
         << "\nzone=" << zone << "\nregion=hofudborg\nzones." << zone
         << "=hofudborg\nlisten.front=" << own.ip << ':' << own.front
         << "\nlisten.readinessAddress=" << own.ip << ':' << own.ready
         << "\nlisten.control=" << own.ip << ':' << own.control
         << "\nlisten.directory=" << own.ip << ':' << own.directory
         << "\ninternalPortRange=7740,7755\nseeds=" << seeds
         << "\nbootstrap=true\nfaultCounted=false\nlimits.cpuShare=0.17\n"
         << "limits.cores=1\nlimits.memoryMb=" << bounds.memory_mb
         << "\nlimits.maxFds=2870\nlimits.linkMbps=700.0\nlimits.diskMb=0\n"
         << "discovery=platform\nentry=directory\nheartbeatMs=1200\n"
         << "contracts=base,drain,config,cost,retry,recover,scatter,platform\n"
         << "faultTolerance.machines=2\nfaultTolerance.zones=0\n"
         << "faultTolerance.regions=0\nbounds.seedLagS=3\n"
         << "bounds.addrReuseS=2\nbounds.stabilityWindowMs=4000\n"
         << "bounds.ackTimeoutMs=5000\nbounds.catchUpS=4\n"
         << "bounds.drainMs=3000\nbounds.graceS=" << bounds.grace_s
         << "\nbounds.lossSlackMs=200\nbounds.configApplyMs="
         << bounds.config_apply_ms << "\nbounds.downgradeSlackMs=250\n"
         << "bounds.outerMs=12000\nbounds.retryBudgetRatio=0.2\n"
         << "bounds.budgetWindowS=10\nbounds.retryBudgetSlack=126\n"
         << "bounds.recoveryS=12\nbounds.ttl_max_s=5\nplatform.address="
         << store_ip << ':' << store_port
         << "\nplatform.form=read\nplatform.writesPerS=400\n"
         << "platform.readsPerS=2000\nplatform.historyS=20\n"
         << "platform.valueBytes=1048576\nplatform.minTtlMs=1000\n";
    return text.str();
}

// One process of the deploy file's role "entry", started in the repository's
// root with that file's command.
class daemon_process
{
public:
    daemon_process(const std::string& root, const std::string& folder,
                   const std::string& name, const std::string& settings)
        : root_(root), settings_path_(folder + "/" + name + ".conf"),
          log_path_(folder + "/" + name + ".log")
    {
        std::ofstream(settings_path_) << settings;
    }
    ~daemon_process() { end(); }
    daemon_process(const daemon_process&) = delete;
    daemon_process& operator=(const daemon_process&) = delete;

    bool start()
    {
        status_.reset();
        pid_ = fork();
        if (pid_ == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL); // if the case is ended
            const int log = open(log_path_.c_str(),
                                 O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(log, 1);
            dup2(log, 2);
            if (chdir(root_.c_str()) != 0) {
                _exit(126);
            }
            setenv("BULRUSHSPRING_SETTINGS", settings_path_.c_str(), 1);
            execl("target/bulrushspring-platformd",
                  "target/bulrushspring-platformd", "--metrics_port=9790",
                  static_cast<char*>(nullptr));
            _exit(127);
        }
        return pid_ > 0;
    }

    pid_t pid() const { return pid_; }
    void signal(int number) const
    {
        if (pid_ > 0 && !status_) {
            kill(pid_, number);
        }
    }

    // Whether the process runs. Collects its status if it has ended.
    bool runs()
    {
        if (pid_ <= 0 || status_) {
            return false;
        }
        int status = 0;
        if (waitpid(pid_, &status, WNOHANG) == pid_) {
            status_ = status;
        }
        return !status_;
    }
    std::string how_it_ended() const
    {
        if (!status_) {
            return "runs";
        }
        return WIFSIGNALED(*status_)
                   ? "ended by signal " + std::to_string(WTERMSIG(*status_))
                   : "exited with " + std::to_string(WEXITSTATUS(*status_));
    }
    void end()
    {
        if (runs()) {
            kill(pid_, SIGKILL);
            int status = 0;
            waitpid(pid_, &status, 0);
            status_ = status;
        }
    }
    // The resident memory in MB, and the processor time in seconds.
    double resident_mb() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1048576;
    }
    double processor_s() const
    {
        std::ifstream file("/proc/" + std::to_string(pid_) + "/stat");
        std::string text;
        std::getline(file, text);
        std::istringstream fields(text.substr(text.rfind(')') + 2));
        std::string skipped;
        double user = 0;
        double system = 0;
        for (int i = 0; i < 11; ++i) {
            fields >> skipped;
        }
        fields >> user >> system;
        return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    }
    const std::string& log_path() const { return log_path_; }

private:
    std::string root_;
    std::string settings_path_;
    std::string log_path_;
    pid_t pid_ = -1;
    std::optional<int> status_;
};

// ---- callers ----

struct asked {
    read_result result = read_result::timed_out;
    bool connected = false;
    int status = 0; // 0: no answer
    message answer;
    double took_s = 0;
};

inline std::string request_text(const std::string& method,
                                const std::string& target,
                                const std::string& host, const std::string& id,
                                int deadline_ms, const std::string& body,
                                const std::string& more_headers = "")
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: " + host +
                       "\r\nAttempt-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) +
                       "\r\n" + more_headers;
    if (method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

// Sends one request on a connection and reads its answer within the time
// limit.
inline asked ask_on(int socket, std::string& buffer, const std::string& text,
                    int timeout_ms)
{
    asked done;
    done.connected = true;
    const auto begun = clock_type::now();
    const auto until = begun + milliseconds{timeout_ms};
    if (send_all(socket, text, timeout_ms)) {
        done.result = read_message(socket, buffer, done.answer, until);
    }
    if (done.result == read_result::message) {
        done.status = done.answer.status();
    }
    done.took_s =
        std::chrono::duration<double>(clock_type::now() - begun).count();
    return done;
}

// The same on a new connection, which has to be made within a second.
inline asked ask(const std::string& ip, int port, const std::string& text,
                 int timeout_ms)
{
    const auto begun = clock_type::now();
    const int socket = connect_to(ip, port, std::min(timeout_ms, 1000));
    if (socket < 0) {
        asked failed;
        failed.result = read_result::reset;
        failed.took_s =
            std::chrono::duration<double>(clock_type::now() - begun).count();
        return failed;
    }
    std::string buffer;
    auto done = ask_on(socket, buffer, text, timeout_ms);
    close(socket);
    return done;
}

// Waits until the platform's readiness check is answered with 200.
inline bool wait_until_ready(const addresses& of, double limit_s)
{
    const double until = now_s() + limit_s;
    while (now_s() < until) {
        const auto done = ask(of.ip, of.ready,
                              "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n",
                              500);
        if (done.status == 200) {
            return true;
        }
        usleep(50000);
    }
    return false;
}

// A loopback network of its own for each run: 127.X.Y.0.
inline std::string loopback_prefix()
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(20 + pid / 250 % 200) + "." +
           std::to_string(1 + pid % 250) + ".";
}

} // namespace review3

#endif
