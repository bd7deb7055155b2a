#ifndef BULRUSHSPRING_FAKES_SITE_CALLERS_HPP
#define BULRUSHSPRING_FAKES_SITE_CALLERS_HPP

#include "fakes/site/site.hpp"
#include "libraries/http/client.hpp"

namespace bulrushspring::site
{

enum class request_kind : std::uint8_t { query, read, order, probe };

struct caller_tally {
    std::uint64_t sent = 0;
    std::uint64_t succeeded = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;
    std::uint64_t interrupted = 0;
};

// A load generator: a number of callers, each with at most one request in
// progress. They learn the daemons to use through /resolve, reuse a connection
// until it closes, and check every response against the guarantees of the
// service.
class callers
{
public:
    callers(event_base* base, installation& site, std::size_t count,
            std::uint64_t seed);

    // Descriptions of the guarantees that were broken, empty if none was.
    const std::vector<std::string>& violations() const { return violations_; }
    const caller_tally& tally() const { return tally_; }
    // The daemons named by the directory's last answer, by index.
    const std::vector<std::size_t>& usable() const { return usable_; }
    // The number of requests sent that have not ended yet.
    std::size_t in_progress() const;
    // The number of successes among the last 100 finished requests.
    std::size_t recent_successes() const;
    // Checks how often each request was executed. Call it once no more work is
    // in progress, so that late executions are counted too.
    void check_executions();
    void stop_sending() { sending_ = false; }

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
        shell::event_handle timer; // pause before a request, then its timeout
        callers* owner = nullptr;
    };

    void send_request(caller& requester);
    void choose_daemon(caller& requester);
    void resolve();
    void make_request(caller& requester);
    void handle_response(caller& requester, const http::response& answer);
    void check_success(const caller& requester, const http::response& answer);
    void check_query(const caller& requester, const http::response& answer);
    void check_probe(const caller& requester, unsigned status);
    void record_interruption(const caller& requester);
    void finish_request(caller& requester, bool success);
    void report(const caller& requester, const std::string& violation);
    daemon& daemon_of(const caller& requester);
    static void on_timer(evutil_socket_t socket, short events, void* argument);
    static void on_resolve_timer(evutil_socket_t socket, short events,
                                 void* argument);

    event_base* base_;
    installation& site_;
    random_source random_;
    http::client http_;
    http::client resolver_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<std::size_t>
        usable_; // daemons listed by the last /resolve answer
    shell::event_handle resolve_timer_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_resolve_ = 0;
    std::uint64_t last_request_ = 0;
    std::vector<std::string> refused_ids_;
    std::vector<std::string> order_ids_;
    std::vector<bool> recent_;
    std::vector<std::string> violations_;
    caller_tally tally_;
    bool sending_ = true;
};

} // namespace bulrushspring::site

#endif
