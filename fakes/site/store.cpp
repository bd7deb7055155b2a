#include "fakes/site/store.hpp"

#include "platform/names.hpp"

#include <absl/strings/escaping.h>
#include <nlohmann/json.hpp>

namespace bulrushspring::site
{
namespace
{

using nlohmann::json;

constexpr std::size_t max_items_per_page = 10;
constexpr std::size_t max_bytes_per_page = 1'000'000;

http::response json_response(const json& body)
{
    return {200, "", {{"Content-Type", "application/json"}}, body.dump()};
}

std::uint64_t numeric_parameter(const http::request& request,
                                std::string_view name)
{
    const auto text = http::query_parameter(request.target, name);
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
    events.on_request = [this](caller_token token,
                               const http::request& request) {
        handle_request(token, request);
    };
    events.on_disconnected = [this](caller_token token) {
        watches_.remove_if(
            [&](const auto& each) { return each.token == token; });
    };
    events.on_rejected = [](unsigned, const endpoint&) {};
    server_ = http::server::listen(base, address, events).value();
}

void store::put(const std::string& key, const std::string& value)
{
    apply_change({++revision_, key, value, false});
}

void store::remove(const std::string& key)
{
    apply_change({++revision_, key, "", true});
}

void store::apply_change(change applied)
{
    stale_items_ = items_;
    stale_revision_ = applied.revision - 1;
    if (applied.removed) {
        items_.erase(applied.key);
    } else {
        items_[applied.key] = applied;
    }
    history_.push_back(std::move(applied));
    answer_watches();
}

void store::drop_history()
{
    history_.clear();
    history_from_ = revision_;
    answer_watches();
}

void store::set_condition(store_condition condition)
{
    condition_ = condition;
    if (condition == store_condition::refusing) {
        for (const auto& each : watches_) {
            respond(each.token, {503, "", {}, ""});
        }
        watches_.clear();
    }
}

// Sends an answer with the era that all answers carry.
void store::respond(caller_token token, http::response answer)
{
    if (!era_header_.empty()) {
        answer.headers.push_back(
            {std::string(platform::names::store_era), era_header_});
    }
    server_->respond(token, answer);
}

void store::save_copy()
{
    copied_items_ = items_;
    copied_revision_ = revision_;
}

std::vector<std::string> store::restore_copy()
{
    std::vector<std::string> lost;
    for (const auto& [key, item] : items_) {
        const auto found = copied_items_.find(key);
        if (found == copied_items_.end() ||
            found->second.revision != item.revision) {
            lost.push_back(key);
        }
    }
    items_ = copied_items_;
    stale_items_ = copied_items_;
    revision_ = copied_revision_;
    stale_revision_ = copied_revision_;
    history_.clear();
    history_from_ = revision_;
    era_header_ = std::to_string(++era_);
    answer_watches();
    return lost;
}

void store::handle_request(caller_token token, const http::request& request)
{
    ++calls_;
    if (condition_ == store_condition::silent) {
        return;
    }
    if (condition_ == store_condition::refusing) {
        respond(token, {503, "", {}, ""});
        return;
    }
    const auto path = http::path_of(request.target);
    if (path == "/kv-key") {
        answer_key(token, request);
    } else if (path == "/kv-range") {
        answer_range(token, request);
    } else if (path == "/kv-watch") {
        start_watch(token, request);
    } else {
        respond(token, {404, "", {}, ""});
    }
}

void store::answer_key(caller_token token, const http::request& request)
{
    const bool stale = numeric_parameter(request, "allowStale") != 0;
    const auto& items = stale ? stale_items_ : items_;
    const auto key = http::query_parameter(request.target, "key");
    const auto found = items.find(key);
    if (found == items.end()) {
        respond(token, {404, "", {}, ""});
        return;
    }
    auto body = item_of(key, found->second.value, found->second.revision);
    body["storeRevision"] = stale ? stale_revision_ : revision_;
    respond(token, json_response(body));
}

void store::answer_range(caller_token token, const http::request& request)
{
    const auto prefix = http::query_parameter(request.target, "prefix");
    const auto after = http::query_parameter(request.target, "after");
    const bool stale = numeric_parameter(request, "allowStale") != 0;
    json list = json::array();
    bool more = false;
    std::size_t bytes = 0;
    for (const auto& [key, item] : stale ? stale_items_ : items_) {
        if (key.rfind(prefix, 0) != 0 || key <= after) {
            continue;
        }
        more = list.size() == max_items_per_page || bytes > max_bytes_per_page;
        if (more) {
            break;
        }
        list.push_back(item_of(key, item.value, item.revision));
        bytes += item.value.size();
    }
    respond(token, json_response({{"items", std::move(list)},
                                  {"morePages", more},
                                  {"storeRevision",
                                   stale ? stale_revision_ : revision_}}));
}

void store::start_watch(caller_token token, const http::request& request)
{
    watches_.push_back({token, http::query_parameter(request.target, "prefix"),
                        numeric_parameter(request, "after"), nullptr, this});
    auto& created = watches_.back();
    if (answer_watch(created)) {
        watches_.pop_back();
        return;
    }
    created.timeout.reset(event_new(base_, -1, 0, on_watch_timeout, &created));
    const auto timeout =
        shell::to_timeval(milliseconds{numeric_parameter(request, "waitMs")});
    event_add(created.timeout.get(), &timeout);
}

// Returns false, and sends nothing, while no change matches the watch.
bool store::answer_watch(const watch& waiting)
{
    if (waiting.after < history_from_ || waiting.after > revision_) {
        respond(waiting.token, {410, "", {}, ""});
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
    respond(waiting.token, json_response({{"events", std::move(events)},
                                          {"storeRevision", revision_}}));
    return true;
}

void store::answer_watches()
{
    if (condition_ == store_condition::normal) {
        watches_.remove_if(
            [this](const auto& each) { return answer_watch(each); });
    }
}

void store::on_watch_timeout(evutil_socket_t /*socket*/, short /*events*/,
                             void* argument)
{
    const auto& waiting = *static_cast<watch*>(argument);
    auto& self = *waiting.owner;
    self.respond(waiting.token,
                 json_response({{"events", json::array()},
                                {"storeRevision", self.revision_}}));
    self.watches_.remove_if(
        [&](const auto& each) { return &each == &waiting; });
}

} // namespace bulrushspring::site
