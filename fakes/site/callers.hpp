#ifndef BULRUSHSPRING_FAKES_SITE_CALLERS_HPP
#define BULRUSHSPRING_FAKES_SITE_CALLERS_HPP

#include "fakes/site/site.hpp"
#include "libraries/http/client.hpp"

namespace bulrushspring::site
{

enum class request_kind : std::uint8_t { query, read, order, probe };

struct caller_tally {
    std::uint64_t asked = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t cut = 0;
};

// Callers of an installation, each with one request at a time. They ask a
// daemon which of them to use, keep their connections until those end, and
// check each answer against the promises.
class callers
{
public:
    callers(event_base* base, installation& of, std::size_t count,
            std::uint64_t seed);

    // What was seen to break a promise; empty if nothing was.
    const std::vector<std::string>& violations() const { return violations_; }
    const caller_tally& tally() const { return tally_; }
    // Of that many requests that ended last, those that succeeded.
    std::size_t recent_successes() const;
    // Checks what can be told only when all is over.
    void check_executions();
    void stop_asking() { asking_ = false; }

private:
    struct caller {
        std::size_t number = 0;
        connection_id connection{};
        bool open = false;
        std::size_t daemon = 0;
        request_kind kind = request_kind::query;
        http::request request;
        bool waiting = false;
        std::uint64_t probed_version = 0;
        shell::event_handle next;
        callers* owner = nullptr;
    };

    void ask(caller& from);
    void choose_daemon(caller& from);
    void resolve();
    void make_request(caller& from);
    void take_answer(caller& from, const http::response& answer);
    void check_success(const caller& from, const http::response& answer);
    void check_query(const caller& from, const http::response& answer);
    void check_probe(const caller& from, unsigned status);
    void note_cut(const caller& from);
    void end_turn(caller& from, bool success);
    void report(const caller& from, const std::string& what);
    daemon& daemon_of(const caller& from);
    static void take_turn(evutil_socket_t socket, short what, void* which);
    static void resolve_again(evutil_socket_t socket, short what, void* self);

    event_base* base_;
    installation& site_;
    random_source random_;
    http::client http_;
    http::client resolver_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::size_t> usable_; // daemons of the last list
    shell::event_handle resolve_timer_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_resolve_ = 0;
    std::uint64_t last_request_ = 0;
    std::vector<std::string> promised_not_run_;
    std::vector<std::string> orders_;
    std::vector<bool> recent_;
    std::vector<std::string> violations_;
    caller_tally tally_;
    bool asking_ = true;
};

} // namespace bulrushspring::site

#endif
