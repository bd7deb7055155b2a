#ifndef BULRUSHSPRING_FAKES_SITE_LATE_CALLERS_HPP
#define BULRUSHSPRING_FAKES_SITE_LATE_CALLERS_HPP

#include "fakes/site/site.hpp"
#include "libraries/http/client.hpp"

namespace bulrushspring::site
{

struct late_tally {
    std::uint64_t sent = 0;
    std::uint64_t answered = 0;
    std::uint64_t cut = 0; // connections that ended before a complete answer
};

// Callers that ignore the directory. Each belongs to one daemon, keeps its
// connection idle for up to several seconds, sends on it while the daemon
// stops, and opens a new one when it ends.
class late_callers
{
public:
    // Creates `count` callers for each daemon.
    late_callers(event_base* base, installation& site, std::size_t count,
                 std::uint64_t seed);

    void stop_sending() { sending_ = false; }
    const late_tally& tally() const { return tally_; }
    // The requests that daemons lost. Call it once no more work is in progress,
    // so that late executions are counted too.
    std::vector<std::string> lost_requests() const;

private:
    struct caller {
        late_callers* owner = nullptr;
        std::size_t daemon = 0;
        connection_id connection{};
        bool open = false;
        bool waiting = false;
        std::string id; // of the last request
        boot_time sent_at{};
        shell::event_handle timer; // pause before a request, then its timeout
    };
    struct cut_request {
        std::string id;
        std::string daemon;
        duration after; // from its last byte to the end of the connection
    };

    static void on_timer(evutil_socket_t socket, short events, void* argument);
    void reconnect(caller& requester);
    void pause(caller& requester);
    void send_request(caller& requester);
    void handle_close(caller& requester);

    installation& site_;
    random_source random_;
    http::client http_;
    std::unordered_map<std::uint64_t, caller*> by_connection_;
    std::vector<std::unique_ptr<caller>> callers_;
    std::vector<cut_request> cut_;
    std::uint64_t last_connection_ = 0;
    std::uint64_t last_request_ = 0;
    late_tally tally_;
    bool sending_ = true;
};

} // namespace bulrushspring::site

#endif
