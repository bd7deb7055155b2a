#include "libraries/gateway/memory_drops.hpp"
#include "libraries/gateway_shell/runner.hpp"
#include "libraries/memory/allocator.hpp"
#include "libraries/memory/events.hpp"
#include "libraries/memory/log_records.hpp"

#include <sys/resource.h>

// The part of the runner that keeps the process within its memory limit.
namespace bulrushspring::gateway_shell
{
namespace
{

// Who holds a candidate.
enum class holder : std::uint32_t {
    callers,
    directory,
    readiness,
    metrics,
    leafs,
    peers,
    requests, // the reducer
};

// Free memory is returned to the system at most this often, since that takes
// some milliseconds.
constexpr seconds min_return_interval{1};

std::uint64_t descriptor_limit()
{
    rlimit limit{};
    getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

metrics::counter counter_for(memory::drop_kind kind)
{
    switch (kind) {
    case memory::drop_kind::partial_request:
        return metrics::counter::memory_drops_partial;
    case memory::drop_kind::idle_connection:
        return metrics::counter::memory_drops_idle;
    case memory::drop_kind::unsent_request:
        return metrics::counter::memory_drops_unsent;
    case memory::drop_kind::response:
        break;
    }
    return metrics::counter::memory_drops_response;
}

} // namespace

void runner::set_up_memory(const settings& settings)
{
    account_.limits =
        memory::make_limits(settings.memory_bytes, descriptor_limit());
    account_.reclaim = [this] { reclaim_memory(); };
    const auto& limits = account_.limits;
    if (limits.bytes != 0) {
        memory::configure_allocator();
    }
    log_.write(memory::describe_limits(settings.memory_bytes, limits),
               clock_.now());
}

std::vector<memory::candidate> runner::list_candidates() const
{
    const auto now = clock_.now();
    const auto number = [](holder of) {
        return static_cast<std::uint32_t>(of);
    };
    std::vector<memory::candidate> all;
    caller_server_->list_candidates(all, number(holder::callers), now);
    directory_server_->list_candidates(all, number(holder::directory), now);
    readiness_server_->list_candidates(all, number(holder::readiness), now);
    metrics_server_->list_candidates(all, number(holder::metrics), now);
    leaf_client_->list_candidates(all, number(holder::leafs));
    peer_streams_->list_candidates(all, number(holder::peers), now);
    gateway::list_candidates(state_->exchanges, all, number(holder::requests));
    return all;
}

void runner::drop(const memory::candidate& what, bool silently)
{
    metrics::add(metrics_, counter_for(what.kind));
    const std::array servers = {caller_server_.get(), directory_server_.get(),
                                readiness_server_.get(), metrics_server_.get()};
    switch (static_cast<holder>(what.holder)) {
    case holder::leafs:
        leaf_client_->drop(what);
        return;
    case holder::peers:
        peer_streams_->drop(what);
        return;
    case holder::requests:
        dropped_requests_.push_back(caller_token{what.id});
        return;
    default:
        break;
    }
    if (silently) {
        servers[what.holder]->close(what);
    } else {
        servers[what.holder]->drop(what);
    }
}

// Runs after the callback in which the limit was exceeded, when no connection
// and no request is in use.
void runner::reclaim_memory()
{
    if (handling_) {
        return; // the next check is at the end of the callback
    }
    const auto reserved = account_.reserved;
    const auto connections = account_.connections;
    const auto counts = memory::drop_excess(
        account_, [this] { return list_candidates(); },
        [this](const auto& each, bool silently) { drop(each, silently); });
    if (!dropped_requests_.empty()) {
        post(gateway::memory_exceeded{std::exchange(dropped_requests_, {}),
                                      state_->memory_exhausted});
    }
    log_.write(memory::describe_drops(reserved, connections, counts, account_),
               clock_.now());
    set_exhausted(memory::end_reclaim(account_));
}

void runner::set_exhausted(bool exhausted)
{
    if (exhausted == state_->memory_exhausted) {
        return;
    }
    log_.write(make_record(memory::memory_exhausted,
                           field("exhausted", exhausted ? 1 : 0),
                           field("reserved", account_.reserved)),
               clock_.now());
    leaf_client_->pause_unrepeatable(exhausted);
    post(gateway::memory_exceeded{{}, exhausted});
}

// Called by the timer.
void runner::review_memory()
{
    memory::reclaim_if_over(&account_);
    if (state_->memory_exhausted) {
        account_.retry_above = 0;
        if (!memory::is_over_limit(account_)) {
            set_exhausted(false);
        }
    }
    const auto now = clock_.now();
    if (now - memory_reviewed_at_ < min_return_interval) {
        return;
    }
    memory_reviewed_at_ = now;
    if (memory::should_return_memory(account_)) {
        memory::return_free_memory();
        log_.write(make_record(memory::memory_returned,
                               field("reserved", account_.reserved)),
                   now);
    }
}

} // namespace bulrushspring::gateway_shell
