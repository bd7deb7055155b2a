#include "libraries/client/call.hpp"

#include "libraries/client/answer.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::client
{
namespace
{

using manifest::service_kind;
using phase = call_progress::phase;

constexpr milliseconds address_timeout{1'000};
constexpr milliseconds repeat_pause{50};

// Time beyond the deadline for an entry to report the outcome.
constexpr milliseconds answer_grace{200};

// How long a grant that came with a refusal is cached. The refusal does not say
// when it expires; the entry refuses it once it has.
constexpr seconds renewed_grant_hold{30};

// A grant starts with a mark of this many bytes, followed by a dot.
constexpr std::size_t grant_mark_size = 16;

constexpr std::uint32_t max_repeats = 3;
constexpr std::uint32_t max_renewals = 2;

bool may_have_run(const call_progress& progress)
{
    return progress.caller_attempt > 1;
}

caller_answer make_answer(const call& what, answer_status status, execution run,
                          std::string reason)
{
    caller_answer answer;
    answer.status = status;
    answer.run = run;
    answer.request_id = what.id;
    answer.reason = std::move(reason);
    return answer;
}

caller_answer unknown_outcome_answer(const call& what, std::string reason)
{
    return make_answer(what, answer_status::outcome_unknown, execution::unknown,
                       std::move(reason));
}

// Whether an entry refused because it is stopping or starting, so that the
// caller should use another entry.
bool not_serving(const caller_answer& answer)
{
    return answer.run == execution::not_run &&
           (answer.reason == "stopping" || answer.reason == "starting");
}

void use_entries(call_progress& progress, std::vector<endpoint> entries)
{
    progress.entries = std::move(entries);
    progress.current_phase = phase::sending;
}

void advance_to_next_entry(call_progress& progress, address_book& book)
{
    move_to_end(book, progress.entries[progress.entry_index]);
    ++progress.entry_index;
    progress.grant.clear();
    progress.grant_requested = false;
    progress.repeats = 0;
    progress.renewals = 0;
}

void end(call_progress& progress)
{
    progress.current_phase = phase::ended;
}

call_step address_step(const call_progress& progress, const endpoint& from,
                       boot_time now)
{
    http_request request;
    request.target =
        "/v1/addresses?data_centre=" + uri_encoded(progress.what.data_centre);
    const auto limit =
        std::min<duration>(progress.deadline - now, address_timeout);
    return ask_addresses{from, std::move(request), limit};
}

// Asks the next endpoint for addresses; ends the call once all have failed.
call_step find_entries(call_progress& progress, boot_time now)
{
    if (progress.next_to_ask < progress.to_ask.size()) {
        return address_step(progress, progress.to_ask[progress.next_to_ask],
                            now);
    }
    end(progress);
    return call_ended{};
}

call_step send_step(const call_progress& progress, boot_time now)
{
    const auto left = progress.deadline - now;
    return send_call{progress.entries[progress.entry_index],
                     make_request(progress.what, progress.grant,
                                  progress.caller_attempt, left),
                     left + answer_grace};
}

// Uses a grant for a request that certainly did not run. The request's id may
// change only in this case.
void use_grant(call_progress& progress, std::string_view grant)
{
    progress.grant = grant;
    const bool has_mark =
        grant.size() > grant_mark_size && grant[grant_mark_size] == '.';
    if (progress.what.bind_id && has_mark) {
        progress.what.id = std::string(grant.substr(0, grant_mark_size + 1)) +
                           progress.unbound_id;
    }
}

// Whether there is a grant for the current entry; looks it up if necessary.
bool has_grant(call_progress& progress, const address_book& book, boot_time now)
{
    if (progress.grant.empty()) {
        use_grant(progress,
                  grant_for(book, progress.entries[progress.entry_index], now));
    }
    return !progress.grant.empty();
}

// Records that a request was sent and no valid answer to it arrived.
void record_no_answer(call_progress& progress, std::string reason)
{
    progress.outcome.answer =
        unknown_outcome_answer(progress.what, std::move(reason));
    ++progress.caller_attempt;
}

void repeat_or_end(call_progress& progress)
{
    progress.pause_due = true;
    if (++progress.repeats > max_repeats) {
        end(progress);
    }
}

void handle_unsent(call_progress& progress, address_book& book)
{
    const bool same_entry_only =
        progress.what.kind == service_kind::request && may_have_run(progress);
    if (same_entry_only) {
        repeat_or_end(progress);
        return;
    }
    advance_to_next_entry(progress, book);
}

void handle_no_answer(call_progress& progress, address_book& book,
                      std::string reason)
{
    record_no_answer(progress, std::move(reason));
    if (progress.what.kind == service_kind::request) {
        repeat_or_end(progress);
        return;
    }
    advance_to_next_entry(progress, book);
}

// If the request was refused only because of its grant, and certainly did not
// run, adopts the new grant from the refusal and returns true.
bool renew_grant(call_progress& progress, address_book& book, boot_time now)
{
    const auto& answer = progress.outcome.answer;
    const bool renewable = progress.what.kind == service_kind::request &&
                           !may_have_run(progress) &&
                           answer.run == execution::not_run &&
                           !answer.grant.empty();
    if (!renewable || ++progress.renewals > max_renewals) {
        return false;
    }
    const std::string grant = answer.grant;
    use_grant(progress, grant);
    store_grant(book, progress.entries[progress.entry_index], grant,
                now + renewed_grant_hold);
    return true;
}

void handle_answer(call_progress& progress, address_book& book,
                   caller_answer answer, boot_time now)
{
    progress.outcome.answer = std::move(answer);
    const bool use_next_entry = not_serving(progress.outcome.answer) &&
                                (progress.what.kind != service_kind::request ||
                                 !may_have_run(progress));
    if (use_next_entry) {
        advance_to_next_entry(progress, book);
        return;
    }
    if (!renew_grant(progress, book, now)) {
        end(progress);
    }
}

std::string_view path_of(service_kind kind)
{
    switch (kind) {
    case service_kind::query:
        return "/v1/query/";
    case service_kind::read:
        return "/v1/read/";
    case service_kind::request:
        return "/v1/request/";
    }
    return "/v1/query/";
}

} // namespace

call_progress begin_call(const address_book& book, call what, boot_time now)
{
    call_progress progress;
    progress.deadline = now + what.deadline;
    progress.caller_attempt = what.first_caller_attempt;
    progress.outcome.answer =
        may_have_run(progress) ? unknown_outcome_answer(what, "unreachable")
                               : make_answer(what, answer_status::refused,
                                             execution::not_run, "unreachable");
    progress.unbound_id = what.id;
    progress.what = std::move(what);
    if (addresses_valid(book, now)) {
        use_entries(progress, book.entries);
    } else {
        progress.to_ask = address_sources(book);
    }
    return progress;
}

call_step next_step(call_progress& progress, address_book& book, boot_time now)
{
    if (now >= progress.deadline) {
        end(progress);
    }
    if (progress.current_phase == phase::finding) {
        return find_entries(progress, now);
    }
    if (progress.current_phase == phase::ended ||
        progress.entry_index >= progress.entries.size()) {
        end(progress);
        return call_ended{};
    }
    if (std::exchange(progress.pause_due, false)) {
        return pause_call{repeat_pause};
    }
    if (progress.what.kind == service_kind::request &&
        !has_grant(progress, book, now)) {
        if (!std::exchange(progress.grant_requested, true)) {
            return address_step(progress,
                                progress.entries[progress.entry_index], now);
        }
        advance_to_next_entry(progress, book);
        return next_step(progress, book, now);
    }
    return send_step(progress, now);
}

void take_addresses(call_progress& progress, address_book& book,
                    const endpoint& from, const exchange_result& ended,
                    boot_time asked)
{
    if (ended.response.has_error()) {
        ++progress.next_to_ask;
        return;
    }
    const auto answer = parse_addresses(ended.response.value());
    if (answer.has_error() || answer.value().entries.empty()) {
        ++progress.next_to_ask;
        return;
    }
    accept(book, from, answer.value(), asked);
    if (progress.current_phase == phase::finding) {
        use_entries(progress, book.entries);
    }
}

void take_answer(call_progress& progress, address_book& book,
                 const exchange_result& ended, boot_time now)
{
    if (!ended.sent) {
        handle_unsent(progress, book);
        return;
    }
    ++progress.outcome.caller_attempts;
    progress.outcome.reached = true;
    progress.outcome.entry = progress.entries[progress.entry_index];
    if (ended.response.has_error()) {
        handle_no_answer(progress, book, "no_answer");
        return;
    }
    auto answer = parse_answer(ended.response.value());
    if (answer.has_error()) {
        handle_no_answer(progress, book, "malformed_answer");
        return;
    }
    if (answer.value().request_id != progress.what.id) {
        handle_no_answer(progress, book, "answer_to_another_request");
        return;
    }
    handle_answer(progress, book, std::move(answer.value()), now);
}

http_request make_request(const call& what, std::string_view grant,
                          std::uint32_t caller_attempt, duration time_left)
{
    http_request request;
    request.method = http_method::post;
    request.target =
        std::string(path_of(what.kind)) + uri_encoded(what.service);
    if (what.kind != service_kind::query) {
        request.target += "?key=" + uri_encoded(what.key);
    }
    const auto left = std::max<std::int64_t>(1, to_milliseconds(time_left));
    request.headers = {
        {"Bulrushspring-Request-Id", what.id},
        {"Bulrushspring-Deadline-Ms", std::to_string(left)},
        {"Bulrushspring-Sending", std::to_string(caller_attempt)}};
    if (!what.caller.empty()) {
        request.headers.push_back({"Bulrushspring-Caller", what.caller});
    }
    if (!grant.empty()) {
        request.headers.push_back({"Bulrushspring-Grant", std::string(grant)});
    }
    request.body = what.body;
    return request;
}

} // namespace bulrushspring::client
