#ifndef BULRUSHSPRING_TESTS_ENDLESS_ENDLESS_SERVER_HPP
#define BULRUSHSPRING_TESTS_ENDLESS_ENDLESS_SERVER_HPP

#include "libraries/shell/handles.hpp"
#include "tests/http/endless_answers.hpp"

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <functional>
#include <list>
#include <mutex>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace bulrushspring::test
{

// The value of a header of a message; empty if it is missing.
inline std::string header_in(const std::string& message, std::string name)
{
    name = "\r\n" + name + ": ";
    const auto start = message.find(name);
    if (start == std::string::npos) {
        return "";
    }
    const auto value = start + name.size();
    return message.substr(value, message.find("\r\n", value) - value);
}

// A server in a thread of its own that sends bytes without end, as fast as they
// are read, until its peer closes. `answer` returns the answer to a request; if
// it is empty, an endless one is sent. One that says "Connection: close" ends
// with its connection.
class endless_server
{
public:
    using answer_function = std::function<std::string(const std::string&)>;

    // `id_header` is the header that an answer repeats.
    endless_server(const endpoint& address, std::string id_header,
                   answer_function answer)
        : id_header_(std::move(id_header)), answer_(std::move(answer)),
          listener_(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        std::signal(SIGPIPE, SIG_IGN);
        const int on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const auto where = shell::to_socket_address(address);
        ready_ = bind(listener_, reinterpret_cast<const sockaddr*>(&where),
                      sizeof where) == 0 &&
                 listen(listener_, 256) == 0;
        evutil_make_socket_nonblocking(listener_);
        thread_ = std::thread([this] { run(); });
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    ~endless_server()
    {
        stopping_ = true;
        thread_.join();
        ::close(listener_);
    }

    bool ready() const { return ready_; }
    // Sends the kinds of answers in turn.
    void send(std::vector<endless_answer> kinds)
    {
        const std::lock_guard lock(mutex_);
        kinds_ = std::move(kinds);
    }
    // The requests that got an endless answer.
    std::size_t begun() const { return begun_; }

private:
    struct peer {
        int socket = -1;
        std::string received;
        std::string unsent;
        std::string repeated; // empty unless an endless answer is sent
        bool closes = false;  // once all is sent
    };

    void run()
    {
        while (!stopping_) {
            std::vector<pollfd> all{{listener_, POLLIN, 0}};
            for (const auto& each : peers_) {
                const bool sends =
                    !each.unsent.empty() || !each.repeated.empty();
                all.push_back(
                    {each.socket,
                     static_cast<short>(POLLIN | (sends ? POLLOUT : 0)), 0});
            }
            poll(all.data(), all.size(), 10);
            for (auto& each : peers_) {
                handle_input(each);
                handle_output(each);
            }
            peers_.remove_if([](const peer& each) { return each.socket < 0; });
            int accepted = -1;
            while ((accepted = accept4(listener_, nullptr, nullptr,
                                       SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
                peers_.push_back({accepted, "", "", "", false});
            }
        }
        for (auto& each : peers_) {
            end(each);
        }
    }

    static void end(peer& of)
    {
        ::close(of.socket);
        of.socket = -1;
    }

    void handle_input(peer& from)
    {
        std::array<char, 65536> bytes{};
        const auto size = recv(from.socket, bytes.data(), bytes.size(), 0);
        if (size == 0 || (size < 0 && errno != EAGAIN)) {
            end(from);
            return;
        }
        if (size > 0) {
            from.received.append(bytes.data(), static_cast<std::size_t>(size));
        }
        const auto head = from.received.find("\r\n\r\n");
        if (head == std::string::npos || !from.repeated.empty()) {
            return;
        }
        const auto length = std::strtoul(
            header_in(from.received, "Content-Length").c_str(), nullptr, 10);
        if (from.received.size() < head + 4 + length) {
            return;
        }
        const auto request = from.received.substr(0, head + 4 + length);
        from.received.erase(0, request.size());
        from.unsent += answer_ ? answer_(request) : "";
        from.closes =
            from.unsent.find("\r\nConnection: close\r\n") != std::string::npos;
        if (from.unsent.empty()) {
            begin(from, request);
        }
    }

    void begin(peer& to, const std::string& request)
    {
        const std::lock_guard lock(mutex_);
        if (kinds_.empty()) {
            return;
        }
        auto kind = kinds_[begun_++ % kinds_.size()];
        const auto id = header_in(request, id_header_);
        for (auto* text : {&kind.start, &kind.repeated}) {
            replace(*text, "Id: r2", id_header_ + ": " + id);
            replace(*text, "Id: r1", id_header_ + ": another");
        }
        to.unsent = kind.start;
        constexpr std::size_t block = 65536;
        while (to.repeated.size() < block) {
            to.repeated += kind.repeated;
        }
    }

    static void replace(std::string& in, const std::string& from,
                        const std::string& to)
    {
        const auto found = in.find(from);
        if (found != std::string::npos) {
            in.replace(found, from.size(), to);
        }
    }

    static void handle_output(peer& to)
    {
        if (to.socket < 0) {
            return;
        }
        if (to.unsent.size() < to.repeated.size()) {
            to.unsent += to.repeated;
        }
        const auto sent = ::send(to.socket, to.unsent.data(), to.unsent.size(),
                                 MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent > 0) {
            to.unsent.erase(0, static_cast<std::size_t>(sent));
            if (to.closes && to.unsent.empty()) {
                end(to);
            }
        } else if (sent < 0 && errno != EAGAIN) {
            end(to);
        }
    }

    std::string id_header_;
    answer_function answer_;
    int listener_;
    bool ready_ = false;
    std::mutex mutex_;
    std::vector<endless_answer> kinds_;
    std::atomic<std::size_t> begun_{0};
    std::list<peer> peers_; // of the thread
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace bulrushspring::test

#endif
