#ifndef BULRUSHSPRING_FAKES_SITE_STORE_HPP
#define BULRUSHSPRING_FAKES_SITE_STORE_HPP

#include "libraries/http/server.hpp"

#include <deque>
#include <list>
#include <map>
#include <vector>

// Test doubles for the store and leafs of an installation. They run in the
// event loop of the program that uses them.
namespace bulrushspring::site
{

enum class store_condition : std::uint8_t { normal, refusing, silent };

// An in-memory key-value store with the platform's HTTP interface: items with
// revisions, paged listings and watches.
class store
{
public:
    store(event_base* base, const endpoint& address);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    // Discards the change history. Watches from an earlier revision are then
    // answered 410.
    void drop_history();
    void set_condition(store_condition condition);
    // Copies the present content.
    void save_copy();
    // Restores the content of the copy, in the next era. Returns the
    // keys whose present content is lost.
    std::vector<std::string> restore_copy();
    // Sets the value of the Store-Era header, which is usually the era.
    void set_era_header(std::string value) { era_header_ = std::move(value); }
    // The number of requests received.
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
        shell::event_handle timeout;
        store* owner;
    };

    void handle_request(caller_token token, const http::request& request);
    void answer_key(caller_token token, const http::request& request);
    void answer_range(caller_token token, const http::request& request);
    void start_watch(caller_token token, const http::request& request);
    bool answer_watch(const watch& waiting);
    void answer_watches();
    void respond(caller_token token, http::response answer);
    void apply_change(change applied);
    static void on_watch_timeout(evutil_socket_t socket, short events,
                                 void* argument);

    event_base* base_;
    std::unique_ptr<http::server> server_;
    std::map<std::string, change> items_;
    // The content without the newest change, for reads with allowStale.
    std::map<std::string, change> stale_items_;
    std::uint64_t stale_revision_ = 1;
    std::deque<change> history_;
    std::list<watch> watches_;
    std::uint64_t revision_ = 1;
    std::uint64_t history_from_ = 0;
    std::map<std::string, change> copied_items_;
    std::uint64_t copied_revision_ = 1;
    std::uint64_t era_ = 1;
    std::string era_header_ = "1"; // none is sent if empty
    store_condition condition_ = store_condition::normal;
    std::size_t calls_ = 0;
};

} // namespace bulrushspring::site

#endif
