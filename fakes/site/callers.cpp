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
constexpr std::size_t most_results = 5;
constexpr milliseconds least_pause{2};
constexpr milliseconds most_pause{25};

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

callers::callers(event_base* base, installation& of, std::size_t count,
                 std::uint64_t seed)
    : base_(base), site_(of), random_(seed),
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
                         take_answer(*each, answer);
                     }
                 }
             },
             [this](connection_id id, const error&) {
                 for (auto& each : callers_) {
                     if (each->connection == id) {
                         const bool was_open = each->open;
                         each->open = false;
                         if (each->waiting && was_open) {
                             note_cut(*each);
                         }
                         if (each->waiting) {
                             end_turn(*each, false);
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
                       if (to_string(site_.callers_of(site_.daemons[i])) ==
                           address) {
                           usable_.push_back(i);
                       }
                   }
               }
           },
           [](connection_id, const error&) {}})
{
    resolve_timer_.reset(event_new(base, -1, EV_PERSIST, resolve_again, this));
    const auto interval = shell::to_timeval(milliseconds{300});
    event_add(resolve_timer_.get(), &interval);
    for (std::size_t i = 0; i < count; ++i) {
        auto made = std::make_unique<caller>();
        made->number = i;
        made->owner = this;
        made->next.reset(event_new(base, -1, 0, take_turn, made.get()));
        callers_.push_back(std::move(made));
        end_turn(*callers_.back(), true);
    }
    recent_.clear();
}

void callers::resolve_again(evutil_socket_t /*socket*/, short /*what*/,
                            void* self)
{
    static_cast<callers*>(self)->resolve();
}

void callers::resolve()
{
    const auto& asked =
        site_.daemons[random_below(random_, site_.daemons.size())];
    resolver_.close(connection_id{last_resolve_});
    resolver_.open(connection_id{++last_resolve_}, site_.directory_of(asked));
}

daemon& callers::daemon_of(const caller& from)
{
    return site_.daemons[from.daemon];
}

void callers::take_turn(evutil_socket_t /*socket*/, short /*what*/, void* which)
{
    auto& from = *static_cast<caller*>(which);
    if (from.waiting) { // the answer is over its time
        from.owner->http_.close(from.connection);
        from.open = false;
        from.owner->end_turn(from, false);
    } else {
        from.owner->ask(from);
    }
}

void callers::end_turn(caller& from, bool success)
{
    recent_.push_back(success);
    if (recent_.size() > recent_requests) {
        recent_.erase(recent_.begin());
    }
    from.waiting = false;
    const auto pause =
        least_pause +
        milliseconds{random_below(random_, (most_pause - least_pause).count())};
    const auto until = shell::to_timeval(pause);
    event_add(from.next.get(), &until);
}

void callers::make_request(caller& from)
{
    constexpr std::uint64_t kinds = 20;
    const auto draw = random_below(random_, kinds);
    from.kind = draw < 10   ? request_kind::query
                : draw < 14 ? request_kind::read
                : draw < 18 ? request_kind::order
                            : request_kind::probe;
    const auto id = "r" + std::to_string(++last_request_);
    from.request = {"GET", "", {}, ""};
    from.request.headers = {{"Host", "site.example"},
                            {std::string(names::request_id), id},
                            {std::string(names::deadline), "1500"}};
    switch (from.kind) {
    case request_kind::query:
        from.request.target = "/q/" + id;
        return;
    case request_kind::read:
        from.request.target = "/s/" + id;
        return;
    case request_kind::order:
        from.request.method = "POST";
        from.request.target = "/u/" + id;
        from.request.body = "order " + id;
        orders_.push_back(id);
        return;
    case request_kind::probe:
        from.probed_version = 1 + random_below(random_, site_.version());
        from.request.target =
            "/n" + std::to_string(from.probed_version) + "/" + id;
        return;
    }
}

void callers::ask(caller& from)
{
    if (!asking_) {
        return;
    }
    make_request(from);
    ++tally_.asked;
    from.waiting = true;
    const auto most = shell::to_timeval(milliseconds{2500});
    event_add(from.next.get(), &most);
    if (from.open) {
        http_.send(from.connection, from.request);
        return;
    }
    from.daemon = usable_.empty()
                      ? random_below(random_, site_.daemons.size())
                      : usable_[random_below(random_, usable_.size())];
    from.connection = connection_id{++last_connection_};
    http_.open(from.connection, site_.callers_of(daemon_of(from)));
}

void callers::report(const caller& from, const std::string& what)
{
    violations_.push_back(
        what + ": request " +
        std::string(http::value_of(from.request.headers, names::request_id)) +
        " " + from.request.target + " at " + site_.daemons[from.daemon].name);
}

// A daemon that only stops as planned cuts no request in progress.
void callers::note_cut(const caller& from)
{
    ++tally_.cut;
    const auto& daemon = daemon_of(from);
    if (daemon.stopping && machine_clock{}.now() > daemon.disturbed_until) {
        report(from, "a planned stop cut a request");
    }
}

void callers::take_answer(caller& from, const http::response& answer)
{
    if (!from.waiting) {
        report(from, "an answer without a request");
        return;
    }
    const auto id =
        std::string(http::value_of(from.request.headers, names::request_id));
    if (from.kind == request_kind::probe) {
        check_probe(from, answer.status);
    }
    if (answer.status == 200) {
        ++tally_.succeeded;
        check_success(from, answer);
    } else if (answer.status == 503) {
        ++tally_.refused;
        promised_not_run_.push_back(id);
        if (http::count_of(answer.headers, names::retry_after) == 0) {
            report(from, "a refusal that does not say when to come back");
        }
    } else {
        ++tally_.failed;
    }
    end_turn(from, answer.status == 200);
}

void callers::check_success(const caller& from, const http::response& answer)
{
    if (from.kind == request_kind::query) {
        check_query(from, answer);
        return;
    }
    const auto id =
        std::string(http::value_of(from.request.headers, names::request_id));
    if (http::value_of(answer.headers, names::seal) != seal_of("single", id) ||
        answer.body != single_body("single", from.request)) {
        report(from, "not the leaf's own whole answer");
    }
}

void callers::check_query(const caller& from, const http::response& answer)
{
    const auto id =
        std::string(http::value_of(from.request.headers, names::request_id));
    std::set<std::string> parts;
    std::vector<std::string> bodies;
    for (const auto& seal :
         split_list(http::value_of(answer.headers, names::part_seals))) {
        const auto service = seal.substr(0, seal.rfind('.'));
        if (seal != seal_of(service, id) || !parts.insert(service).second) {
            report(from, "a part that is not of this request, or named twice");
            return;
        }
        bodies.push_back(shard_body(service, from.request.target));
    }
    const auto missing = std::stoul(
        std::string(http::value_of(answer.headers, names::missing_parts)));
    const auto& sets = site_.shard_sets();
    const bool of_one_version =
        std::any_of(sets.begin(), sets.end(), [&](const auto& set) {
            return std::includes(set.begin(), set.end(), parts.begin(),
                                 parts.end()) &&
                   parts.size() + missing == set.size();
        });
    if (!of_one_version || parts.size() * 2 < site_.shards()) {
        report(from, "coverage that is not true");
    }
    const std::vector<std::string_view> views(bodies.begin(), bodies.end());
    if (answer.body != gateway::greatest_records(views, most_results)) {
        report(from, "not the greatest records of its parts");
    }
}

// A process that showed a version never acts by an older one.
void callers::check_probe(const caller& from, unsigned status)
{
    auto& daemon = daemon_of(from);
    if (status == 200) {
        daemon.proven_version =
            std::max(daemon.proven_version, from.probed_version);
    } else if (status == 404 && from.probed_version <= daemon.proven_version) {
        report(from, "a configuration that went back");
    }
}

std::size_t callers::recent_successes() const
{
    return static_cast<std::size_t>(
        std::count(recent_.begin(), recent_.end(), true));
}

void callers::check_executions()
{
    for (const auto& id : orders_) {
        const auto found = site_.runs.find(id);
        if (found != site_.runs.end() && found->second > 1) {
            violations_.push_back("an order ran " +
                                  std::to_string(found->second) +
                                  " times: " + id);
        }
    }
    for (const auto& id : promised_not_run_) {
        if (site_.runs.count(id) > 0) {
            violations_.push_back("refused as not run, and ran: " + id);
        }
    }
}

} // namespace bulrushspring::site
