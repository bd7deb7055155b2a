#include "fakes/site/store.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace bulrushspring::site
{
namespace
{

using nlohmann::json;

constexpr std::size_t page_items = 10;

http::response json_response(const json& body)
{
    return {200, "", {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t number(const http::request& asked, std::string_view name)
{
    const auto text = http::query_parameter(asked.target, name);
    return text.empty() ? 0 : std::stoull(text);
}

json item_of(const std::string& key, const std::string& value,
             std::uint64_t revision)
{
    return {{"key", key},
            {"value", absl::Base64Escape(value)},
            {"revision", revision},
            {"created", revision},
            {"lease", 0}};
}

} // namespace

store::store(event_base* base, const endpoint& address) : base_(base)
{
    http::server_events events;
    events.asked = [this](caller_token token, const http::request& asked) {
        take(token, asked);
    };
    events.left = [this](caller_token token) {
        watches_.remove_if(
            [&](const auto& each) { return each.token == token; });
    };
    events.rejected = [](unsigned, const endpoint&) {};
    server_ = http::server::listen(base, address, events).value();
}

void store::put(const std::string& key, const std::string& value)
{
    record({++revision_, key, value, false});
}

void store::remove(const std::string& key)
{
    record({++revision_, key, "", true});
}

void store::record(change what)
{
    stale_items_ = items_;
    stale_revision_ = what.revision - 1;
    if (what.removed) {
        items_.erase(what.key);
    } else {
        items_[what.key] = what;
    }
    history_.push_back(std::move(what));
    answer_watches();
}

void store::drop_history()
{
    history_.clear();
    history_from_ = revision_;
    answer_watches();
}

void store::set_mood(store_mood mood)
{
    mood_ = mood;
    if (mood == store_mood::refusing) {
        for (const auto& each : watches_) {
            server_->respond(each.token, {503, "", {}, ""});
        }
        watches_.clear();
    }
}

void store::take(caller_token token, const http::request& asked)
{
    ++calls_;
    if (mood_ == store_mood::silent) {
        return;
    }
    if (mood_ == store_mood::refusing) {
        server_->respond(token, {503, "", {}, ""});
        return;
    }
    const auto path = http::path_of(asked.target);
    if (path == "/kv-key") {
        answer_key(token, asked);
    } else if (path == "/kv-range") {
        answer_range(token, asked);
    } else if (path == "/kv-watch") {
        begin_watch(token, asked);
    } else {
        server_->respond(token, {404, "", {}, ""});
    }
}

void store::answer_key(caller_token token, const http::request& asked)
{
    const bool stale = number(asked, "allowStale") != 0;
    const auto& items = stale ? stale_items_ : items_;
    const auto key = http::query_parameter(asked.target, "key");
    const auto found = items.find(key);
    if (found == items.end()) {
        server_->respond(token, {404, "", {}, ""});
        return;
    }
    auto body = item_of(key, found->second.value, found->second.revision);
    body["storeRevision"] = stale ? stale_revision_ : revision_;
    server_->respond(token, json_response(body));
}

void store::answer_range(caller_token token, const http::request& asked)
{
    const auto prefix = http::query_parameter(asked.target, "prefix");
    const auto after = http::query_parameter(asked.target, "after");
    const bool stale = number(asked, "allowStale") != 0;
    json list = json::array();
    bool more = false;
    for (const auto& [key, item] : stale ? stale_items_ : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) {
            continue;
        }
        more = list.size() == page_items;
        if (more) {
            break;
        }
        list.push_back(item_of(key, item.value, item.revision));
    }
    server_->respond(
        token, json_response(
                   {{"items", std::move(list)},
                    {"morePages", more},
                    {"storeRevision", stale ? stale_revision_ : revision_}}));
}

void store::begin_watch(caller_token token, const http::request& asked)
{
    watches_.push_back({token, http::query_parameter(asked.target, "prefix"),
                        number(asked, "after"), nullptr, this});
    auto& made = watches_.back();
    if (answer_watch(made)) {
        watches_.pop_back();
        return;
    }
    made.limit.reset(event_new(base_, -1, 0, pass_limit, &made));
    const auto limit = shell::to_timeval(milliseconds{number(asked, "waitMs")});
    event_add(made.limit.get(), &limit);
}

// False while there is nothing to tell.
bool store::answer_watch(const watch& waiting)
{
    if (waiting.after < history_from_) {
        server_->respond(waiting.token, {410, "", {}, ""});
        return true;
    }
    json events = json::array();
    for (const auto& each : history_) {
        if (each.revision <= waiting.after ||
            each.key.rfind(waiting.prefix, 0) != 0) {
            continue;
        }
        events.push_back(each.removed
                             ? json{{"key", each.key},
                                    {"revision", each.revision},
                                    {"removed", true}}
                             : item_of(each.key, each.value, each.revision));
    }
    if (events.empty()) {
        return false;
    }
    server_->respond(waiting.token,
                     json_response({{"events", std::move(events)},
                                    {"storeRevision", revision_}}));
    return true;
}

void store::answer_watches()
{
    if (mood_ == store_mood::well) {
        watches_.remove_if(
            [this](const auto& each) { return answer_watch(each); });
    }
}

void store::pass_limit(evutil_socket_t /*socket*/, short /*what*/, void* which)
{
    const auto& waiting = *static_cast<watch*>(which);
    auto& self = *waiting.owner;
    self.server_->respond(waiting.token,
                          json_response({{"events", json::array()},
                                         {"storeRevision", self.revision_}}));
    self.watches_.remove_if(
        [&](const auto& each) { return &each == &waiting; });
}

} // namespace bulrushspring::site
