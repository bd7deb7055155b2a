#include "libraries/shell/runner.hpp"

#include "libraries/client/event_pointers.hpp"
#include "libraries/memory/allocator.hpp"
#include "libraries/memory/events.hpp"
#include "libraries/memory/log_records.hpp"
#include "libraries/node/events.hpp"
#include "libraries/shell/status_render.hpp"

#include <glog/logging.h>
#include <sys/resource.h>

namespace bulrushspring::shell
{
namespace
{

// How long the last answers of a planned stop may take to be sent.
constexpr seconds max_sending_time{1};

// Returns the incarnation number of this process: microseconds of the wall
// clock. Each incarnation of a VM's daemon needs a higher number than the one
// before, also after a reboot, which the boot clock can't provide.
incarnation_number new_incarnation()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<incarnation_number>(
        std::chrono::duration_cast<std::chrono::microseconds>(now).count());
}

// Returning memory to the system takes some milliseconds, and each search for
// what to drop writes a log line.
constexpr seconds memory_review_interval{1};

// Who holds a candidate for dropping.
enum class holder : std::uint32_t {
    callers,
    operators,
    peers,
    leafs,
    platform,
    queries, // the reducer
};

std::uint32_t number_of(holder which)
{
    return static_cast<std::uint32_t>(which);
}

std::uint64_t descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

void write(const log_record& record)
{
    switch (record.definition->level) {
    case severity::info:
        LOG(INFO) << to_string(record);
        return;
    case severity::warning:
        LOG(WARNING) << to_string(record);
        return;
    case severity::error:
        LOG(ERROR) << to_string(record);
        return;
    }
}

} // namespace

runner::runner(const clock& time)
    : clock_(time), base_(client::make_event_base()),
      timer_(event_new(base_.get(), -1, 0, on_timer, this))
{
}

result<std::unique_ptr<runner>>
runner::start(const settings::daemon_settings& settings, const clock& time)
{
    std::unique_ptr<runner> made(new runner(time));
    TRY(made->open(settings));
    return made;
}

sink runner::make_sink()
{
    return sink{[this](event what) { post(std::move(what)); },
                [this](const error& cause) { reject(cause); }, &metrics_,
                &account_};
}

result<void> runner::open(const settings::daemon_settings& settings)
{
    set_up_memory(settings.memory_bytes);
    TRY(callers,
        caller_server::listen(base_.get(), settings.callers, make_sink()));
    callers_ = std::move(callers);
    TRY(datagrams,
        peer_datagrams::bind(base_.get(), settings.peers, make_sink()));
    datagrams_ = std::move(datagrams);
    TRY(streams,
        peer_streams::listen(base_.get(), datagrams_->address(), make_sink()));
    streams_ = std::move(streams);
    operator_pages pages;
    pages.status = [this] {
        // Brings the state up to date: after a pause of the process, events
        // that are due may not have been processed yet.
        post(tick{});
        return status_json(*node_, metrics_, clock_.now());
    };
    pages.metrics = [this] {
        return metrics::prometheus_text(metrics_) +
               memory::prometheus_text(account_);
    };
    TRY(operators, operator_server::listen(base_.get(), settings.operators,
                                           std::move(pages), &account_));
    operators_ = std::move(operators);
    platform_ = std::make_unique<platform_client>(
        base_.get(), settings.platform, make_sink());
    make_node(settings);
    return success();
}

void runner::make_node(const settings::daemon_settings& settings)
{
    wire::member_record self;
    self.name = settings.name;
    self.data_centre = settings.data_centre;
    self.region = settings.region;
    self.peer = datagrams_->address();
    self.caller = callers_->address();
    self.operators = operators_->address();
    self.incarnation = new_incarnation();
    leafs_ = std::make_unique<leaf_client>(
        base_.get(), self.name + "-" + std::to_string(self.incarnation) + "-",
        make_sink());

    node::options options;
    options.address_validity = settings.address_validity;
    options.grant_validity = settings.grant_validity;
    options.max_addresses = settings.max_addresses;
    node_ = std::make_unique<node::state>(node::make_state(
        self, settings.seeds, options, settings.readers, clock_.now()));
    write(make_record(node::process_started, field("name", self.name),
                      field("data_centre", self.data_centre),
                      field("incarnation", self.incarnation),
                      field("callers", to_string(self.caller)),
                      field("peers", to_string(self.peer)),
                      field("operators", to_string(self.operators))));
}

void runner::run()
{
    post(tick{});
    event_base_dispatch(base_.get());
}

void runner::reject(const error& cause)
{
    metrics::add(metrics_, metrics::counter::input_rejected);
    write(
        make_record(node::input_rejected, field("step", cause.step),
                    field("peer", cause.peer),
                    field("cause", cause.code.message() + " " + cause.detail)));
}

void runner::post(event what)
{
    pending_.push_back(std::move(what));
    if (!processing_) {
        process_pending();
    }
}

// Executing an effect may post new events. They stay queued until all effects
// of the current event have been executed.
void runner::process_pending()
{
    processing_ = true;
    while (!pending_.empty()) {
        const event what = std::move(pending_.front());
        pending_.pop_front();
        effects_.clear();
        context context{clock_.now(), effects_, last_identifier_};
        node::reduce(*node_, what, context);
        for (auto& each : effects_) {
            carry_out(each);
        }
    }
    processing_ = false;
    arm_timer();
}

void runner::arm_timer()
{
    const boot_time due = node::next_wakeup(*node_);
    if (due == armed_for_ && event_pending(timer_.get(), EV_TIMEOUT, nullptr)) {
        return;
    }
    armed_for_ = due;
    constexpr seconds max_sleep{1};
    const duration wait = std::min<duration>(due - clock_.now(), max_sleep);
    const timeval value = to_timeval(wait);
    event_add(timer_.get(), &value);
}

void runner::set_up_memory(std::uint64_t process_bytes)
{
    account_.limits = memory::make_limits(process_bytes, descriptor_limit());
    account_.reclaim = [this] { reclaim_memory(); };
    memory::configure_allocator();
    write(memory::describe_limits(process_bytes, account_.limits));
}

std::vector<memory::candidate> runner::list_candidates() const
{
    const auto now = clock_.now();
    std::vector<memory::candidate> all;
    callers_->list_candidates(all, number_of(holder::callers), now);
    operators_->list_candidates(all, number_of(holder::operators), now);
    streams_->list_candidates(all, number_of(holder::peers), now);
    leafs_->list_candidates(all, number_of(holder::leafs));
    platform_->list_candidates(all, number_of(holder::platform));
    queries::list_candidates(node_->queries, all, number_of(holder::queries));
    return all;
}

void runner::drop(const memory::candidate& what, bool silently)
{
    switch (static_cast<holder>(what.holder)) {
    case holder::callers:
        callers_->drop(what, silently);
        return;
    case holder::operators:
        operators_->drop(what, silently);
        return;
    case holder::peers:
        streams_->drop(what);
        return;
    case holder::leafs:
        leafs_->drop(what);
        return;
    case holder::platform:
        platform_->drop(what);
        return;
    case holder::queries:
        dropped_queries_.push_back(caller_token{what.id});
        return;
    }
}

void runner::reclaim_memory()
{
    if (processing_) {
        return; // the next check is at the end of the callback
    }
    const auto reserved = account_.reserved;
    const auto connections = account_.connections;
    const auto counts = memory::drop_excess(
        account_, [this] { return list_candidates(); },
        [this](const auto& each, bool silently) { drop(each, silently); });
    if (!dropped_queries_.empty()) {
        post(queries_dropped{std::exchange(dropped_queries_, {})});
    }
    write(memory::describe_drops(reserved, connections, counts, account_));
    leafs_->pause_unrepeatable(memory::end_reclaim(account_));
}

void runner::review_memory()
{
    const auto now = clock_.now();
    if (now - memory_reviewed_at_ < memory_review_interval) {
        return;
    }
    memory_reviewed_at_ = now;
    account_.retry_above = 0;
    memory::reclaim_if_over(&account_);
    leafs_->pause_unrepeatable(memory::is_over_limit(account_));
    if (memory::should_return_memory(account_)) {
        memory::return_free_memory();
        write(make_record(memory::memory_returned,
                          field("reserved", account_.reserved)));
    }
}

void runner::on_timer(evutil_socket_t /*socket*/, short /*what*/, void* self)
{
    auto& daemon = *static_cast<runner*>(self);
    daemon.post(tick{});
    daemon.review_memory();
}

void runner::carry_out(effect& what)
{
    std::visit(
        [this, &what](auto& concrete) {
            using kind = std::decay_t<decltype(concrete)>;
            if constexpr (std::is_same_v<kind, send_datagram>) {
                datagrams_->carry_out(concrete);
            } else if constexpr (std::is_same_v<kind, send_peer_request> ||
                                 std::is_same_v<kind, reply_to_peer>) {
                streams_->carry_out(concrete);
            } else if constexpr (std::is_same_v<kind, read_platform>) {
                platform_->carry_out(concrete);
            } else if constexpr (std::is_same_v<kind, answer_caller> ||
                                 std::is_same_v<kind, answer_addresses>) {
                callers_->carry_out(concrete);
            } else if constexpr (std::is_same_v<kind, open_connection> ||
                                 std::is_same_v<kind, close_connection> ||
                                 std::is_same_v<kind, probe_connection> ||
                                 std::is_same_v<kind, send_to_leaf> ||
                                 std::is_same_v<kind, cancel_at_leaf>) {
                leafs_->carry_out(concrete);
            } else {
                carry_out_other(what);
            }
        },
        what);
}

void runner::carry_out_other(const effect& what)
{
    if (const auto* log = std::get_if<write_log>(&what)) {
        write(log->record);
    } else if (const auto* count = std::get_if<add_to_counter>(&what)) {
        metrics::add(metrics_, count->counter, count->amount);
    } else if (const auto* span = std::get_if<record_duration>(&what)) {
        metrics::record(metrics_, span->histogram, span->value);
    } else if (std::holds_alternative<stop_process>(what)) {
        // A caller that doesn't read its answer must not delay the end.
        const timeval limit = to_timeval(max_sending_time);
        event_base_loopexit(base_.get(), &limit);
        callers_->finish([this] { event_base_loopbreak(base_.get()); });
    }
}

} // namespace bulrushspring::shell
