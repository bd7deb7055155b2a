#include "fakes/site/callers.hpp"

#include "libraries/gateway/merge.hpp"
#include "platform/names.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrushspring::site
{
namespace
{

namespace names = platform::names;

constexpr http::size_limits answer_limits{64U * 1024, 1024UL * 1024};
constexpr std::size_t recent_requests = 100;
constexpr std::size_t max_results = 5;
// Longer than the deadline of 1500 ms that each request carries.
constexpr milliseconds request_timeout{2500};
constexpr milliseconds min_pause{2};
constexpr milliseconds max_pause{25};

std::vector<std::string> split_list(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto end = std::min(text.find(", "), text.size());
        parts.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 2, text.size()));
    }
    return parts;
}

} // namespace

callers::callers(event_base* base, installation& site, std::size_t count,
                 std::uint64_t seed)
    : base_(base), site_(site), random_(seed),
      http_(base, answer_limits, std::string(names::request_id),
            {[this](connection_id id) {
                 for (auto& each : callers_) {
                     if (each->connection == id) {
                         each->open = true;
                         http_.send(id, each->request);
                     }
                 }
             },
             [this](connection_id id, const http::response& answer,
                    bool reusable) {
                 for (auto& each : callers_) {
                     if (each->connection == id) {
                         each->open = reusable;
                         handle_response(*each, answer);
                     }
                 }
             },
             [this](connection_id id, const error&) {
                 for (auto& each : callers_) {
                     if (each->connection == id) {
                         const bool was_open = each->open;
                         each->open = false;
                         if (each->waiting && was_open) {
                             record_interruption(*each);
                         }
                         if (each->waiting) {
                             finish_request(*each, false);
                         }
                     }
                 }
             }}),
      resolver_(
          base, answer_limits, "",
          {[this](connection_id id) {
               resolver_.send(id, {"GET",
                                   "/resolve?name=site.example&region=r"
                                   "&zone=dc-0",
                                   {{"Host", "site.example"}},
                                   ""});
           },
           [this](connection_id id, const http::response& answer, bool) {
               resolver_.close(id);
               const auto body =
                   nlohmann::json::parse(answer.body, nullptr, false);
               if (answer.status != 200 || !body.contains("addrs")) {
                   return;
               }
               usable_.clear();
               for (const auto& address : body["addrs"]) {
                   for (std::size_t i = 0; i < site_.daemons.size(); ++i) {
                       if (to_string(site_.callers_address(site_.daemons[i])) ==
                           address) {
                           usable_.push_back(i);
                       }
                   }
               }
           },
           [](connection_id, const error&) {}})
{
    resolve_timer_.reset(
        event_new(base, -1, EV_PERSIST, on_resolve_timer, this));
    const auto interval = shell::to_timeval(milliseconds{300});
    event_add(resolve_timer_.get(), &interval);
    for (std::size_t i = 0; i < count; ++i) {
        auto created = std::make_unique<caller>();
        created->number = i;
        created->owner = this;
        created->timer.reset(event_new(base, -1, 0, on_timer, created.get()));
        callers_.push_back(std::move(created));
        finish_request(*callers_.back(), true);
    }
    recent_.clear();
}

void callers::on_resolve_timer(evutil_socket_t /*socket*/, short /*events*/,
                               void* argument)
{
    static_cast<callers*>(argument)->resolve();
}

void callers::resolve()
{
    const auto& queried =
        site_.daemons[random_below(random_, site_.daemons.size())];
    resolver_.close(connection_id{last_resolve_});
    resolver_.open(connection_id{++last_resolve_},
                   site_.directory_address(queried));
}

daemon& callers::daemon_of(const caller& requester)
{
    return site_.daemons[requester.daemon];
}

void callers::on_timer(evutil_socket_t /*socket*/, short /*events*/,
                       void* argument)
{
    auto& requester = *static_cast<caller*>(argument);
    if (requester.waiting) { // the request timed out
        requester.owner->http_.close(requester.connection);
        requester.open = false;
        requester.owner->finish_request(requester, false);
    } else {
        requester.owner->send_request(requester);
    }
}

void callers::finish_request(caller& requester, bool success)
{
    recent_.push_back(success);
    if (recent_.size() > recent_requests) {
        recent_.erase(recent_.begin());
    }
    requester.waiting = false;
    const auto pause =
        min_pause +
        milliseconds{random_below(random_, (max_pause - min_pause).count())};
    const auto delay = shell::to_timeval(pause);
    event_add(requester.timer.get(), &delay);
}

void callers::make_request(caller& requester)
{
    constexpr std::uint64_t kinds = 20;
    const auto draw = random_below(random_, kinds);
    requester.kind = draw < 10   ? request_kind::query
                     : draw < 14 ? request_kind::read
                     : draw < 18 ? request_kind::order
                                 : request_kind::probe;
    const auto id = "r" + std::to_string(++last_request_);
    requester.request = {"GET", "", {}, ""};
    requester.request.headers = {{"Host", "site.example"},
                                 {std::string(names::request_id), id},
                                 {std::string(names::deadline), "1500"}};
    switch (requester.kind) {
    case request_kind::query:
        requester.request.target = "/q/" + id;
        return;
    case request_kind::read:
        requester.request.target = "/s/" + id;
        return;
    case request_kind::order:
        requester.request.method = "POST";
        requester.request.target = "/u/" + id;
        requester.request.body = "order " + id;
        order_ids_.push_back(id);
        return;
    case request_kind::probe:
        requester.probed_version = 1 + random_below(random_, site_.version());
        requester.request.target =
            "/n" + std::to_string(requester.probed_version) + "/" + id;
        return;
    }
}

void callers::send_request(caller& requester)
{
    if (!sending_) {
        return;
    }
    make_request(requester);
    ++tally_.sent;
    requester.waiting = true;
    const auto timeout = shell::to_timeval(request_timeout);
    event_add(requester.timer.get(), &timeout);
    if (requester.open) {
        http_.send(requester.connection, requester.request);
        return;
    }
    requester.daemon = usable_.empty()
                           ? random_below(random_, site_.daemons.size())
                           : usable_[random_below(random_, usable_.size())];
    requester.connection = connection_id{++last_connection_};
    http_.open(requester.connection,
               site_.callers_address(daemon_of(requester)));
}

void callers::report(const caller& requester, const std::string& violation)
{
    violations_.push_back(violation + ": request " +
                          std::string(http::header_value(
                              requester.request.headers, names::request_id)) +
                          " " + requester.request.target + " at " +
                          site_.daemons[requester.daemon].name);
}

// A graceful shutdown must not interrupt requests in progress. Interruptions
// are accepted while the daemon may still be affected by an injected fault.
void callers::record_interruption(const caller& requester)
{
    ++tally_.interrupted;
    const auto& daemon = daemon_of(requester);
    if (daemon.stopping && system_boot_clock{}.now() > daemon.disturbed_until) {
        report(
            requester,
            "graceful shutdown closed a connection with a request in progress");
    }
}

void callers::handle_response(caller& requester, const http::response& answer)
{
    if (!requester.waiting) {
        report(requester, "response without a request in progress");
        return;
    }
    const auto id = std::string(
        http::header_value(requester.request.headers, names::request_id));
    if (requester.kind == request_kind::probe) {
        check_probe(requester, answer.status);
    }
    if (answer.status == 200) {
        ++tally_.succeeded;
        check_success(requester, answer);
    } else if (answer.status == 503) {
        ++tally_.refused;
        refused_ids_.push_back(id);
        if (http::header_count(answer.headers, names::retry_after) == 0) {
            report(requester, "503 response without a Retry-After header");
        }
    } else {
        ++tally_.failed;
    }
    finish_request(requester, answer.status == 200);
}

void callers::check_success(const caller& requester,
                            const http::response& answer)
{
    if (requester.kind == request_kind::query) {
        check_query(requester, answer);
        return;
    }
    const auto id = std::string(
        http::header_value(requester.request.headers, names::request_id));
    if (http::header_value(answer.headers, names::signature) !=
            signature_of("single", id) ||
        answer.body != single_body("single", requester.request)) {
        report(requester,
               "response differs from the complete answer of the leaf");
    }
}

void callers::check_query(const caller& requester, const http::response& answer)
{
    const auto id = std::string(
        http::header_value(requester.request.headers, names::request_id));
    std::set<std::string> parts;
    std::vector<std::string> bodies;
    for (const auto& signature : split_list(
             http::header_value(answer.headers, names::part_signatures))) {
        const auto service = signature.substr(0, signature.rfind('.'));
        if (signature != signature_of(service, id) ||
            !parts.insert(service).second) {
            report(requester,
                   "part belongs to another request or is listed twice");
            return;
        }
        bodies.push_back(shard_body(service, requester.request.target));
    }
    const auto missing = std::stoul(
        std::string(http::header_value(answer.headers, names::missing_parts)));
    const auto& sets = site_.shard_sets();
    const bool matches_version =
        std::any_of(sets.begin(), sets.end(), [&](const auto& set) {
            return std::includes(set.begin(), set.end(), parts.begin(),
                                 parts.end()) &&
                   parts.size() + missing == set.size();
        });
    if (!matches_version || parts.size() * 2 < site_.shards()) {
        report(requester, "reported coverage matches no published set of "
                          "shards, or is below the "
                          "minimum");
    }
    const std::vector<std::string_view> views(bodies.begin(), bodies.end());
    if (answer.body != gateway::greatest_records(views, max_results)) {
        report(requester,
               "merged result is not the greatest records of the listed parts");
    }
}

// A process that has served a configuration version must never serve an older
// one. Version n adds the route /n<n>/, so 404 for a version that the process
// has already served means that it went back.
void callers::check_probe(const caller& requester, unsigned status)
{
    auto& daemon = daemon_of(requester);
    if (status == 200) {
        daemon.proven_version =
            std::max(daemon.proven_version, requester.probed_version);
    } else if (status == 404 &&
               requester.probed_version <= daemon.proven_version) {
        report(requester, "daemon went back to an older configuration");
    }
}

std::size_t callers::in_progress() const
{
    return static_cast<std::size_t>(
        std::count_if(callers_.begin(), callers_.end(),
                      [](const auto& each) { return each->waiting; }));
}

std::size_t callers::recent_successes() const
{
    return static_cast<std::size_t>(
        std::count(recent_.begin(), recent_.end(), true));
}

void callers::check_executions()
{
    for (const auto& id : order_ids_) {
        const auto found = site_.runs.find(id);
        if (found != site_.runs.end() && found->second > 1) {
            violations_.push_back("non-idempotent request was executed " +
                                  std::to_string(found->second) +
                                  " times: " + id);
        }
    }
    for (const auto& id : refused_ids_) {
        if (site_.runs.count(id) > 0) {
            violations_.push_back(
                "request was refused as not executed, but was executed: " + id);
        }
    }
}

} // namespace bulrushspring::site
