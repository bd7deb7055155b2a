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

constexpr std::size_t records_per_shard = 6;

} // namespace

std::string signature_of(const std::string& service,
                         const std::string& request_id)
{
    return service + "." + request_id;
}

std::string single_body(const std::string& service,
                        const http::request& request)
{
    return service + " " + request.method + " " + request.target + " " +
           request.body;
}

std::string shard_body(const std::string& service, std::string_view target)
{
    std::string body;
    for (std::size_t i = 0; i < records_per_shard; ++i) {
        const auto hash =
            stable_hash(service + std::string(target) + std::to_string(i));
        body += to_string(content_hash{hash, i}).substr(0, 16);
    }
    return body + "rest";
}

leaf::leaf(event_base* base, leaf_options options, run_counts& runs,
           std::uint64_t seed)
    : base_(base), options_(std::move(options)), runs_(runs), random_(seed),
      crash_(event_new(base, -1, 0, on_crash, this))
{
    listen();
}

void leaf::listen()
{
    http::server_events events;
    events.on_request = [this](caller_token token, http::request request) {
        handle_request(token, std::move(request));
    };
    events.on_disconnected = [](caller_token) {};
    events.on_rejected = [](unsigned, const endpoint&) {};
    server_ = http::server::listen(base_, options_.address, events).value();
}

void leaf::restart(duration cold)
{
    ++born_;
    cold_since_ = system_boot_clock{}.now();
    cold_until_ = cold_since_ + cold;
    forget_arrivals(cold_rate_);
    listen();
}

void leaf::stop()
{
    running_.clear();
    queued_.clear();
    server_.reset();
}

duration leaf::cold_remaining() const
{
    return std::max(duration{0},
                    duration{cold_until_ - system_boot_clock{}.now()});
}

void leaf::on_crash(evutil_socket_t /*socket*/, short /*events*/,
                    void* argument)
{
    static_cast<leaf*>(argument)->stop();
}

std::string leaf::published(bool draining) const
{
    return nlohmann::json{
        {"service", options_.service},
        {"address", to_string(options_.address)},
        {"zone", options_.data_centre},
        {"version", "v1"},
        {"slots", options_.slots},
        {"state", draining ? "draining" : "ready"},
        {"coldRemainingMs", to_milliseconds(cold_remaining())},
        {"born", born_},
        {"sequence", 1}}
        .dump();
}

void leaf::refuse(caller_token token, unsigned status)
{
    http::response answer{status, "", {{std::string(names::not_run), "1"}}, ""};
    state_limit(answer);
    server_->respond(token, answer);
}

void leaf::state_limit(http::response& answer) const
{
    if (faults.rate_limit > 0) {
        answer.headers.push_back({std::string(names::rate_limit),
                                  std::to_string(faults.rate_limit)});
    }
}

void leaf::check_limit()
{
    const auto now = last_arrival_;
    if (faults.rate_limit != limit_checked_) {
        limit_checked_ = faults.rate_limit;
        limited_since_ = now;
    }
    if (faults.rate_limit <= 0) {
        forget_arrivals(rate_);
    } else {
        count_arrival(rate_, faults.rate_limit, limited_since_, now);
    }
}

void leaf::check_cold_rate()
{
    if (options_.cold_per_second > 0 && last_arrival_ < cold_until_) {
        count_arrival(cold_rate_, options_.cold_per_second, cold_since_,
                      last_arrival_);
    }
}

void leaf::handle_request(caller_token token, http::request request)
{
    ++arrivals_;
    last_arrival_ = system_boot_clock{}.now();
    check_limit();
    check_cold_rate();
    const auto meant = http::header_value(request.headers, names::target_leaf);
    if (!meant.empty() && meant != options_.id) {
        refuse(token, 421);
        return;
    }
    if (queued_.size() >= options_.queue ||
        random_fraction(random_) < faults.refuse) {
        refuse(token, 503);
        return;
    }
    if (!faults.poison_target.empty() &&
        request.target == faults.poison_target) {
        const auto until_crash = shell::to_timeval(options_.work);
        event_add(crash_.get(), &until_crash);
        return;
    }
    auto created = std::make_unique<job>();
    created->owner = this;
    created->token = token;
    created->request = std::move(request);
    queued_.push_back(std::move(created));
    start_queued();
}

void leaf::start_queued()
{
    while (!queued_.empty() && running_.size() < options_.slots) {
        running_.push_back(std::move(queued_.front()));
        queued_.erase(queued_.begin());
        auto& started = *running_.back();
        ++runs_[std::string(
            http::header_value(started.request.headers, names::request_id))];
        started.done.reset(event_new(base_, -1, 0, on_work_done, &started));
        const auto work = std::chrono::duration_cast<duration>(
            options_.work * faults.slow_factor *
            (0.5 + random_fraction(random_)));
        const auto limit = shell::to_timeval(work);
        event_add(started.done.get(), &limit);
    }
}

void leaf::on_work_done(evutil_socket_t /*socket*/, short /*events*/,
                        void* argument)
{
    auto& done = *static_cast<job*>(argument);
    auto& self = *done.owner;
    self.send_answer(done);
    std::erase_if(self.running_,
                  [&](const auto& each) { return each.get() == &done; });
    self.start_queued();
}

void leaf::send_answer(const job& done)
{
    const auto id = std::string(
        http::header_value(done.request.headers, names::request_id));
    http::response answer;
    answer.status = random_fraction(random_) < faults.fail ? 500 : 200;
    answer.headers = {
        {std::string(names::request_id), id},
        {std::string(names::signature), signature_of(options_.service, id)}};
    state_limit(answer);
    if (options_.cold_per_second > 0 && done.request.target == health_path) {
        answer.headers.push_back(
            {std::string(names::cold_remaining),
             std::to_string(to_milliseconds(cold_remaining()))});
    }
    const bool shard = http::path_of(done.request.target).rfind("/q/", 0) == 0;
    answer.body = shard ? shard_body(options_.service, done.request.target)
                        : single_body(options_.service, done.request);
    if (random_fraction(random_) < faults.lose) {
        server_->disconnect(done.token);
        return;
    }
    if (random_fraction(random_) < faults.truncate) {
        const auto complete = http::serialize_message(answer, false, false);
        server_->respond_raw(done.token,
                             complete.substr(0, complete.size() / 2), true);
        return;
    }
    if (random_fraction(random_) < faults.repeat) {
        const auto complete = http::serialize_message(answer, false, false);
        server_->respond_raw(done.token, complete + complete, false);
        return;
    }
    server_->respond(done.token, answer);
}

} // namespace bulrushspring::site
