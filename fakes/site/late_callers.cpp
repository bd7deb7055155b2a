#include "fakes/site/late_callers.hpp"

#include "platform/names.hpp"

namespace bulrushspring::site
{
namespace
{

namespace names = platform::names;

constexpr http::size_limits answer_limits{64U * 1024, 1024UL * 1024};
// Longer than the deadline of 1500 ms that each request carries.
constexpr milliseconds request_timeout{2500};
constexpr milliseconds reconnect_pause{100};
// Half of the pauses are short, so that some requests arrive at any moment of a
// stop; the long ones last beyond the end of a stop.
constexpr milliseconds short_pause{400};
constexpr milliseconds long_pause{7000};
// The users' lossSlackMs.
constexpr milliseconds loss_slack{200};

} // namespace

late_callers::late_callers(event_base* base, installation& site,
                           std::size_t count, std::uint64_t seed)
    : site_(site), random_(seed),
      http_(base, answer_limits, std::string(names::request_id),
            {[this](connection_id id) {
                 if (auto* each = by_connection_[raw(id)]) {
                     each->open = true;
                     pause(*each);
                 }
             },
             [this](connection_id id, const http::response&, bool reusable) {
                 if (auto* each = by_connection_[raw(id)]) {
                     ++tally_.answered;
                     each->waiting = false;
                     each->open = reusable;
                     reusable ? pause(*each) : reconnect(*each);
                 }
             },
             [this](connection_id id, const error&) {
                 if (auto* each = by_connection_[raw(id)]) {
                     handle_close(*each);
                 }
             }})
{
    for (std::size_t i = 0; i < count * site.daemons.size(); ++i) {
        auto& created = *callers_.emplace_back(std::make_unique<caller>());
        created.owner = this;
        created.daemon = i % site.daemons.size();
        created.timer.reset(event_new(base, -1, 0, on_timer, &created));
        reconnect(created);
    }
}

void late_callers::on_timer(evutil_socket_t /*socket*/, short /*events*/,
                            void* argument)
{
    auto& requester = *static_cast<caller*>(argument);
    auto& self = *requester.owner;
    if (requester.waiting) { // the request timed out
        self.http_.close(requester.connection);
        requester.waiting = false;
        requester.open = false;
        self.reconnect(requester);
    } else if (requester.open) {
        self.send_request(requester);
    } else {
        requester.connection = connection_id{++self.last_connection_};
        self.by_connection_[raw(requester.connection)] = &requester;
        self.http_.open(
            requester.connection,
            self.site_.callers_address(self.site_.daemons[requester.daemon]));
    }
}

void late_callers::reconnect(caller& requester)
{
    by_connection_.erase(raw(requester.connection));
    const auto delay = shell::to_timeval(reconnect_pause);
    event_add(requester.timer.get(), &delay);
}

void late_callers::pause(caller& requester)
{
    const auto limit = random_below(random_, 2) == 0 ? short_pause : long_pause;
    const auto delay =
        shell::to_timeval(milliseconds{random_below(random_, limit.count())});
    event_add(requester.timer.get(), &delay);
}

void late_callers::send_request(caller& requester)
{
    if (!sending_) {
        return;
    }
    ++tally_.sent;
    requester.id = "late" + std::to_string(++last_request_);
    requester.waiting = true;
    requester.sent_at = system_boot_clock{}.now();
    const auto timeout = shell::to_timeval(request_timeout);
    event_add(requester.timer.get(), &timeout);
    http_.send(requester.connection,
               {"GET",
                "/s/" + requester.id,
                {{"Host", "site.example"},
                 {std::string(names::request_id), requester.id},
                 {std::string(names::deadline), "1500"}},
                ""});
}

void late_callers::handle_close(caller& requester)
{
    const auto now = system_boot_clock{}.now();
    const auto& node = site_.daemons[requester.daemon];
    if (requester.waiting) {
        ++tally_.cut;
        if (now > node.disturbed_until) {
            cut_.push_back({requester.id, node.name, now - requester.sent_at});
        }
    }
    requester.waiting = false;
    requester.open = false;
    reconnect(requester);
}

std::vector<std::string> late_callers::lost_requests() const
{
    std::vector<std::string> lost;
    for (const auto& each : cut_) {
        const bool ran = site_.runs.count(each.id) > 0;
        if (ran || each.after > loss_slack) {
            lost.push_back("request lost: " + each.id + " at " + each.daemon +
                           ", connection ended without an answer after " +
                           std::to_string(to_milliseconds(each.after)) +
                           " ms, " + (ran ? "run" : "not run") + " by a leaf");
        }
    }
    return lost;
}

} // namespace bulrushspring::site
