#include "libraries/node/node.hpp"

#include "libraries/node/events.hpp"

#include <algorithm>

namespace bulrushspring::node
{
namespace
{

constexpr seconds unready_retry_delay{1};

configuration::peers peers_of(const state& self)
{
    return {membership::view_of(self.members).members,
            membership::self_of(self.members)};
}

// Starts all requests that admission control lets through.
void start_admitted(state& self, context& context)
{
    for (auto& admitted : admission::take_admitted(self.admission, context)) {
        if (admitted.request.kind == manifest::service_kind::query) {
            queries::begin(self.queries, self.targets, admitted.token,
                           admitted.request, admitted.manifest, context);
        } else {
            requests::begin(self.requests, self.targets, admitted.token,
                            admitted.request, admitted.manifest, context);
        }
    }
}

// Continues queries and requests that a free connection, an admitted request or
// a finished one may have unblocked.
void advance(state& self, context& context)
{
    queries::assign_connections(self.queries, self.targets, context);
    requests::advance(self.requests, self.targets, context);
}

void refuse(caller_token token, const caller_request& request,
            std::string_view reason, duration retry_after, context& context)
{
    const bool may_have_run = request.kind == manifest::service_kind::request &&
                              request.caller_attempt != 1;
    caller_answer answer;
    answer.status = answer_status::refused;
    answer.run = may_have_run ? execution::unknown : execution::not_run;
    answer.request_id = request.id;
    answer.reason = reason;
    answer.retry_after = retry_after;
    context.emit(write_log{
        make_record(request_refused, field("request", request.id),
                    field("service", request.service),
                    field("caller", request.caller), field("reason", reason),
                    field("run", may_have_run ? "unknown" : "not_run"))});
    context.emit(answer_caller{token, std::move(answer)});
}

// Whether no caller can still hold this entry's address after a shutdown has
// begun.
bool address_hold_expired(const state& self, boot_time now)
{
    return self.stop_requested_at &&
           now >= *self.stop_requested_at +
                      self.settings.departure_propagation +
                      self.settings.address_validity;
}

// Returns the reason to refuse a request before it is passed on to any library,
// or an empty text if there is none.
std::string_view early_refusal_reason(const state& self,
                                      const caller_request& request)
{
    if (!serving(self)) {
        return "starting";
    }
    const auto found = self.active_manifest->services.find(request.service);
    if (found == self.active_manifest->services.end()) {
        return "unknown_service";
    }
    return found->second.kind == request.kind ? "" : "wrong_kind";
}

void step(state& self, const tick& event, context& context)
{
    membership::reduce(self.members, event, context);
    configuration::reduce(self.configuration, event, peers_of(self), context);
    targets::reduce(self.targets, event, context);
    queries::reduce(self.queries, self.targets, event, context);
    requests::reduce(self.requests, self.targets, event, context);
    admission::reduce(self.admission, event, context);
}

void step(state& self, const datagram_received& event, context& context)
{
    membership::reduce(self.members, event, context);
    configuration::reduce(self.configuration, event, peers_of(self), context);
}

void step(state& self, const peer_request_received& event, context& context)
{
    if (std::holds_alternative<wire::members_request>(event.request)) {
        membership::reduce(self.members, event, context);
    } else {
        configuration::reduce(self.configuration, event, peers_of(self),
                              context);
    }
}

void step(state& self, const peer_reply_received& event, context& context)
{
    membership::reduce(self.members, event, context);
    configuration::reduce(self.configuration, event, peers_of(self), context);
}

void step(state& self, const platform_read_finished& event, context& context)
{
    configuration::reduce(self.configuration, event, peers_of(self), context);
}

void step(state& self, const manifest_changed& event, context& context)
{
    self.active_manifest = event.manifest;
    membership::reduce(self.members, event, context);
    targets::reduce(self.targets, event, context);
    queries::reduce(self.queries, self.targets, event, context);
    requests::reduce(self.requests, self.targets, event, context);
    admission::reduce(self.admission, event, context);
}

void step(state& self, const vms_changed& event, context& context)
{
    membership::reduce(self.members, event, context);
    targets::reduce(self.targets, event, context);
}

void step(state& self, const leaf_leaving& event, context& context)
{
    membership::reduce(self.members, event, context);
    targets::reduce(self.targets, event, context);
}

void step(state& self, const connection_opened& event, context& context)
{
    targets::reduce(self.targets, event, context);
}

void step(state& self, const connection_closed& event, context& context)
{
    targets::reduce(self.targets, event, context);
}

void step(state& self, const probe_answered& event, context& context)
{
    targets::reduce(self.targets, event, context);
}

void step(state& self, const leaf_answered& event, context& context)
{
    targets::reduce(self.targets, event, context);
    queries::reduce(self.queries, self.targets, event, context);
    requests::reduce(self.requests, self.targets, event, context);
}

void step(state& self, const leaf_failed& event, context& context)
{
    targets::reduce(self.targets, event, context);
    queries::reduce(self.queries, self.targets, event, context);
    requests::reduce(self.requests, self.targets, event, context);
}

void step(state& self, const caller_request_received& event, context& context)
{
    const auto& request = event.request;
    context.emit(add_to_counter{metrics::counter::caller_requests});
    const std::string_view reason = early_refusal_reason(self, request);
    if (!reason.empty()) {
        const bool temporary = reason == "starting";
        refuse(event.token, request, reason,
               temporary ? duration{unready_retry_delay} : duration{0},
               context);
        return;
    }
    if (requests::answer_without_admission(self.requests, event.token, request,
                                           context)) {
        return;
    }
    if (address_hold_expired(self, context.now)) {
        refuse(event.token, request, "stopping", unready_retry_delay, context);
        return;
    }
    admission::offer(self.admission, event.token, request, self.active_manifest,
                     context);
}

void step(state& self, const address_query_received& event, context& context)
{
    address_answer answer;
    answer.entries = membership::choose_entries(self.members, event.data_centre,
                                                self.settings.max_addresses);
    // An entry that does not serve yet refers callers to other entries only;
    // the answer is empty if there are none.
    if (!serving(self)) {
        std::erase_if(answer.entries, [&self](const auto& entry) {
            return entry.name == membership::self_of(self.members).name;
        });
    }
    answer.validity = self.settings.address_validity;
    answer.grant = requests::issue_grant(self.requests, context.now);
    answer.grant_validity = self.settings.grant_validity;
    std::string names;
    for (const auto& entry : answer.entries) {
        names += (names.empty() ? "" : ",") + entry.name;
    }
    context.emit(write_log{make_record(addresses_answered,
                                       field("data_centre", event.data_centre),
                                       field("entries", names))});
    context.emit(answer_addresses{event.token, std::move(answer)});
}

void step(state& self, const caller_disconnected& event, context& context)
{
    admission::reduce(self.admission, event, context);
    queries::reduce(self.queries, self.targets, event, context);
    requests::reduce(self.requests, self.targets, event, context);
}

void step(state& self, const queries_dropped& event, context& context)
{
    queries::reduce(self.queries, self.targets, event, context);
}

void step(state& self, const stop_requested& event, context& context)
{
    if (self.stop_requested_at) {
        return;
    }
    self.stop_requested_at = context.now;
    membership::reduce(self.members, event, context);
    const duration wait =
        self.settings.departure_propagation + self.settings.address_validity;
    context.emit(write_log{
        make_record(shutdown_started, field("in_flight", in_flight(self)),
                    field("wait_ms", to_milliseconds(wait)))});
}

metrics::counter counter_for(answer_status status)
{
    switch (status) {
    case answer_status::answered:
        return metrics::counter::answers_complete;
    case answer_status::partial:
        return metrics::counter::answers_partial;
    case answer_status::refused:
        return metrics::counter::answers_refused;
    case answer_status::failed:
        return metrics::counter::answers_failed;
    case answer_status::outcome_unknown:
        return metrics::counter::answers_unknown;
    }
    return metrics::counter::answers_failed;
}

void step_event(state& self, const event& what, context& context)
{
    std::visit([&](const auto& concrete) { step(self, concrete, context); },
               what);
}

// Processes those effects, from index `first` on, that concern other libraries:
// raised events and answers to callers. Includes effects that are appended
// meanwhile.
void process_effects(state& self, std::size_t first, context& context)
{
    for (std::size_t i = first; i < context.effects.size(); ++i) {
        if (auto* raised = std::get_if<raise_event>(&context.effects[i])) {
            const event what = std::move(raised->raised);
            step_event(self, what, context);
            continue;
        }
        if (auto* answer = std::get_if<answer_caller>(&context.effects[i])) {
            const answer_caller copy = *answer;
            admission::finished(self.admission, copy.token, copy.answer,
                                context);
            context.emit(add_to_counter{counter_for(copy.answer.status)});
        }
    }
}

void finish_shutdown(state& self, context& context)
{
    if (self.stopped || !address_hold_expired(self, context.now) ||
        in_flight(self) != 0) {
        return;
    }
    self.stopped = true;
    context.emit(write_log{make_record(
        shutdown_finished,
        field("waited_ms",
              to_milliseconds(context.now - *self.stop_requested_at)))});
    context.emit(stop_process{});
}

} // namespace

void reduce(state& self, const event& what, context& context)
{
    const bool served_before = serving(self);
    std::size_t first = context.effects.size();
    // Due timers are processed first: a process that wakes late must detect the
    // delay before it handles events that have arrived in the meantime.
    if (!std::holds_alternative<tick>(what) &&
        context.now >= next_wakeup(self)) {
        step(self, tick{}, context);
    }
    step_event(self, what, context);
    process_effects(self, first, context);
    // Each round starts the admitted requests. The loop terminates because a
    // round without answers admits no further requests.
    do {
        first = context.effects.size();
        start_admitted(self, context);
        advance(self, context);
        process_effects(self, first, context);
    } while (context.effects.size() != first);
    self.warm = self.warm || (self.active_manifest != nullptr &&
                              targets::warmed_up(self.targets));
    membership::set_digest(self.members,
                           configuration::digest_of(self.configuration));
    if (!served_before && serving(self)) {
        context.emit(write_log{make_record(
            service_started,
            field("manifest_version", self.active_manifest->version))});
    }
    finish_shutdown(self, context);
}

boot_time next_wakeup(const state& self)
{
    boot_time due = std::min({
        membership::next_wakeup(self.members),
        configuration::next_wakeup(self.configuration),
        targets::next_wakeup(self.targets),
        queries::next_wakeup(self.queries),
        requests::next_wakeup(self.requests),
        admission::next_wakeup(self.admission),
    });
    if (self.stop_requested_at) {
        due = std::min(due, *self.stop_requested_at +
                                self.settings.departure_propagation +
                                self.settings.address_validity);
    }
    return due;
}

bool serving(const state& self)
{
    return self.active_manifest != nullptr && self.warm &&
           configuration::ready(self.configuration);
}

std::size_t in_flight(const state& self)
{
    return queries::in_flight(self.queries) +
           requests::in_flight(self.requests) + self.admission.waiting.size();
}

} // namespace bulrushspring::node
