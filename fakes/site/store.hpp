#ifndef BULRUSHSPRING_FAKES_SITE_STORE_HPP
#define BULRUSHSPRING_FAKES_SITE_STORE_HPP

#include "libraries/http/server.hpp"

#include <deque>
#include <list>
#include <map>

// Stand-ins of an installation of the users' platform, in the loop of the
// program that uses them.
namespace bulrushspring::site
{

enum class store_mood : std::uint8_t { well, refusing, silent };

// The platform's store: items with revisions, listings in pages, watches.
class store
{
public:
    store(event_base* base, const endpoint& address);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Changes up to now can no longer be watched for.
    void drop_history();
    void set_mood(store_mood mood);
    std::size_t calls() const { return calls_; }

private:
    struct change {
        std::uint64_t revision;
        std::string key;
        std::string value;
        bool removed;
    };
    struct watch {
        caller_token token;
        std::string prefix;
        std::uint64_t after;
        shell::event_handle limit;
        store* owner;
    };

    void take(caller_token token, const http::request& asked);
    void answer_key(caller_token token, const http::request& asked);
    void answer_range(caller_token token, const http::request& asked);
    void begin_watch(caller_token token, const http::request& asked);
    bool answer_watch(const watch& waiting);
    void answer_watches();
    void record(change what);
    static void pass_limit(evutil_socket_t socket, short what, void* which);

    event_base* base_;
    std::unique_ptr<http::server> server_;
    std::map<std::string, change> items_;
    // What stale reads are told: all but the newest change.
    std::map<std::string, change> stale_items_;
    std::uint64_t stale_revision_ = 1;
    std::deque<change> history_;
    std::list<watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    store_mood mood_ = store_mood::well;
    std::size_t calls_ = 0;
};

} // namespace bulrushspring::site

#endif
