#include "fakes/site/leaf.hpp"

#include "base/hash.hpp"
#include "platform/names.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace bulrushspring::site
{
namespace
{

namespace names = platform::names;

constexpr std::size_t records_of_shard = 6;

} // namespace

std::string seal_of(const std::string& service, const std::string& request_id)
{
    return service + "." + request_id;
}

std::string single_body(const std::string& service, const http::request& asked)
{
    return service + " " + asked.method + " " + asked.target + " " + asked.body;
}

std::string shard_body(const std::string& service, std::string_view target)
{
    std::string body;
    for (std::size_t i = 0; i < records_of_shard; ++i) {
        const auto hash =
            stable_hash(service + std::string(target) + std::to_string(i));
        body += to_string(content_hash{hash, i}).substr(0, 16);
    }
    return body + "rest";
}

leaf::leaf(event_base* base, leaf_options options, run_counts& runs,
           std::uint64_t seed)
    : base_(base), options_(std::move(options)), runs_(runs), random_(seed)
{
    http::server_events events;
    events.asked = [this](caller_token token, http::request asked) {
        take(token, std::move(asked));
    };
    events.left = [](caller_token) {};
    events.rejected = [](unsigned, const endpoint&) {};
    server_ = http::server::listen(base, options_.address, events).value();
}

std::string leaf::published(bool draining) const
{
    return nlohmann::json{{"service", options_.service},
                          {"address", to_string(options_.address)},
                          {"zone", options_.data_centre},
                          {"version", "v1"},
                          {"slots", options_.slots},
                          {"state", draining ? "draining" : "ready"},
                          {"coldRemainingMs", 0},
                          {"sequence", 1}}
        .dump();
}

void leaf::refuse(caller_token token, unsigned status)
{
    server_->respond(token,
                     {status, "", {{std::string(names::not_run), "1"}}, ""});
}

void leaf::take(caller_token token, http::request asked)
{
    ++arrivals_;
    last_arrival_ = machine_clock{}.now();
    const auto meant = http::value_of(asked.headers, names::meant_leaf);
    if (!meant.empty() && meant != options_.id) {
        refuse(token, 421);
        return;
    }
    if (queued_.size() >= options_.queue ||
        random_fraction(random_) < faults.refuse) {
        refuse(token, 503);
        return;
    }
    auto made = std::make_unique<job>();
    made->owner = this;
    made->token = token;
    made->asked = std::move(asked);
    queued_.push_back(std::move(made));
    run_next();
}

void leaf::run_next()
{
    while (!queued_.empty() && running_.size() < options_.slots) {
        running_.push_back(std::move(queued_.front()));
        queued_.erase(queued_.begin());
        auto& started = *running_.back();
        ++runs_[std::string(
            http::value_of(started.asked.headers, names::request_id))];
        started.done.reset(event_new(base_, -1, 0, pass_work, &started));
        const auto work = std::chrono::duration_cast<duration>(
            options_.work * faults.slow_factor *
            (0.5 + random_fraction(random_)));
        const auto limit = shell::to_timeval(work);
        event_add(started.done.get(), &limit);
    }
}

void leaf::pass_work(evutil_socket_t /*socket*/, short /*what*/, void* which)
{
    auto& done = *static_cast<job*>(which);
    auto& self = *done.owner;
    self.finish(done);
    std::erase_if(self.running_,
                  [&](const auto& each) { return each.get() == &done; });
    self.run_next();
}

void leaf::finish(const job& done)
{
    const auto id =
        std::string(http::value_of(done.asked.headers, names::request_id));
    http::response answer;
    answer.status = random_fraction(random_) < faults.fail ? 500 : 200;
    answer.headers = {
        {std::string(names::request_id), id},
        {std::string(names::seal), seal_of(options_.service, id)}};
    const bool shard = http::path_of(done.asked.target).rfind("/q/", 0) == 0;
    answer.body = shard ? shard_body(options_.service, done.asked.target)
                        : single_body(options_.service, done.asked);
    if (random_fraction(random_) < faults.lose) {
        server_->drop(done.token);
        return;
    }
    if (random_fraction(random_) < faults.truncate) {
        const auto whole = http::render(answer, false, false);
        server_->respond_raw(done.token, whole.substr(0, whole.size() / 2),
                             true);
        return;
    }
    if (random_fraction(random_) < faults.repeat) {
        const auto whole = http::render(answer, false, false);
        server_->respond_raw(done.token, whole + whole, false);
        return;
    }
    server_->respond(done.token, answer);
}

} // namespace bulrushspring::site
