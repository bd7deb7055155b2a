#include "fakes/leaf/jobs.hpp"

#include "fakes/leaf/result.hpp"

#include <algorithm>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

constexpr int status_cancelled = 499;
constexpr int status_refused = 503;
constexpr int status_deadline_passed = 504;
constexpr std::size_t max_held_requests = 10'000;

void on_timer(evutil_socket_t /*unused*/, short /*unused*/, void* argument);

void set_timer(job& item, boot_time when)
{
    if (!item.timer) {
        item.timer.reset(evtimer_new(&item.owner->base, on_timer, &item));
    }
    client::arm_timer(item.timer.get(), when - item.owner->time.now());
}

void remove_job(job& item)
{
    item.owner->jobs.remove_if([&](const job& it) { return &it == &item; });
}

// Returns the earlier of `end` and the deadline; `end` if there is no deadline.
boot_time end_or_deadline(const job& item, boot_time end)
{
    return item.work.time_left > duration{0} ? std::min(end, item.deadline)
                                             : end;
}

std::vector<client::http_header> answer_headers(const leaf& fake,
                                                const work_answer& answer)
{
    std::vector<client::http_header> headers = {
        {"Bulrushspring-Request-Id", answer.work.request_id},
        {"Bulrushspring-Attempt", answer.work.attempt},
        {"Bulrushspring-Snapshot", std::to_string(answer.work.snapshot)},
        {"Bulrushspring-Shard", std::to_string(answer.work.shard)},
        {"Bulrushspring-Run", answer.run},
        {"Bulrushspring-Current-Snapshot",
         std::to_string(fake.options.current_snapshot)},
        {"Bulrushspring-Queued", std::to_string(fake.queued)}};
    if (*answer.refusal != '\0') {
        headers.push_back({"Bulrushspring-Refusal", answer.refusal});
    }
    if (fake.faults.draining) {
        headers.push_back({"Bulrushspring-Draining", "yes"});
    }
    return headers;
}

bool fault_occurs(leaf& fake, double share)
{
    return share > 0.0 && random_fraction(fake.random) < share;
}

// Sends an answer, or the previous request's answer if the fault for mismatched
// answers occurs.
void send(leaf& fake, evhttp_request& request, const work_answer& answer)
{
    const bool mismatched = !fake.last_answer.work.request_id.empty() &&
                            fault_occurs(fake, fake.faults.mismatched_share);
    const auto sent = mismatched ? fake.last_answer : answer;
    fake.last_answer = answer;
    if (auto* connection = connection_of(*fake.connections, request)) {
        connection->pending = nullptr;
    }
    reply(request, sent.status, answer_headers(fake, sent), sent.body);
}

// Sends the answer of a job that occupies no slot, and removes the job. A late
// answer is delayed; that of a frozen leaf is kept until it resumes.
void deliver_answer(job& item, work_answer answer)
{
    auto& fake = *item.owner;
    item.timer.reset();
    const bool lost = item.request == nullptr || item.connection->silent;
    if (lost) {
        ++fake.counts.unsent;
        remove_job(item);
        return;
    }
    const bool late = item.phase != job_phase::answering &&
                      fault_occurs(fake, fake.faults.late_share);
    if (late || fake.faults.frozen) {
        item.phase = job_phase::answering;
        item.answer = std::move(answer);
        if (!fake.faults.frozen) {
            set_timer(item, fake.time.now() + fake.faults.late_delay);
        }
        return;
    }
    auto& request = *item.request;
    remove_job(item);
    send(fake, request, answer);
}

std::string make_result(const work_item& work)
{
    const bool keyed = !work.key.empty();
    const result_source source{work.service, keyed ? work.key : work.body,
                               work.snapshot, work.shard};
    return keyed ? single_result(source) : shard_result(source);
}

work_answer make_refusal(const work_item& work, const char* reason)
{
    return {status_refused, "not_run", reason, work, ""};
}

// Returns the reason to refuse work, and counts the refusal. Returns an empty
// string if the work is admitted.
const char* refusal_reason(leaf& fake, const work_item& work)
{
    const auto& holdings = fake.options.holdings;
    const auto held_shards = holdings.find(work.snapshot);
    if (fake.faults.draining) {
        ++fake.counts.refused_draining;
        return "draining";
    }
    if (held_shards == holdings.end()) {
        ++fake.counts.refused_snapshot;
        return "snapshot_gone";
    }
    if (held_shards->second.count(work.shard) == 0) {
        ++fake.counts.refused_shard;
        return "shard_not_held";
    }
    if (fake.faults.shedding || (fake.running >= fake.options.slots &&
                                 fake.queued >= fake.options.queue)) {
        ++fake.counts.shed;
        return "shed";
    }
    return "";
}

std::optional<work_item> parse_work(leaf& fake, evhttp_request& request,
                                    std::string_view service)
{
    const auto snapshot =
        parse_number(header_of(request, "Bulrushspring-Snapshot"));
    const auto shard = parse_number(header_of(request, "Bulrushspring-Shard"));
    const auto left =
        parse_number(header_of(request, "Bulrushspring-Deadline-Ms"));
    work_item work;
    work.request_id = header_of(request, "Bulrushspring-Request-Id");
    work.attempt = header_of(request, "Bulrushspring-Attempt");
    if (!snapshot || !shard || !left || work.request_id.empty() ||
        work.attempt.empty()) {
        return std::nullopt;
    }
    work.service = service;
    work.key = header_of(request, "Bulrushspring-Key");
    work.body = body_of(request);
    work.snapshot = *snapshot == 0 ? fake.options.current_snapshot : *snapshot;
    work.shard = static_cast<manifest::shard_id>(*shard);
    work.idempotent = header_of(request, "Bulrushspring-Idempotent") != "no";
    work.time_left = milliseconds{*left};
    return work;
}

void start_work(job& item)
{
    auto& fake = *item.owner;
    const auto now = fake.time.now();
    const auto& work = item.work;
    item.phase = job_phase::running;
    ++fake.running;
    const execution_record record{
        fake.options.name, work.request_id, work.attempt,
        work.service,      work.key,        work.snapshot,
        work.shard,        work.idempotent, now};
    if (fake.on_execution) {
        fake.on_execution(record);
    }
    append(fake.executions, record);
    auto time = draw_service_time(fake.options.work, fake.random);
    time += fake.faults.added_delay;
    if (now < fake.started + fake.options.cold_start) {
        time = std::chrono::duration_cast<duration>(time *
                                                    fake.options.cold_factor);
    }
    item.work_end = now + time;
    set_timer(item, end_or_deadline(item, item.work_end));
}

void finish_work(job& item)
{
    auto& fake = *item.owner;
    auto work = item.work;
    const bool in_time = end_or_deadline(item, item.work_end) == item.work_end;
    --fake.running;
    work_answer answer{200, "ran", "", work, ""};
    if (!in_time) {
        ++fake.counts.deadline_passed;
        answer.status = status_deadline_passed;
    } else if (fault_occurs(fake, fake.faults.failed_share)) {
        ++fake.counts.failed;
        answer.status = 500;
    } else {
        ++fake.counts.answered;
        answer.body = make_result(work);
    }
    deliver_answer(item, std::move(answer));
    start_queued(fake);
}

void on_timer(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    auto& item = *static_cast<job*>(argument);
    auto& fake = *item.owner;
    if (item.phase == job_phase::connecting) {
        auto* request = item.request;
        remove_job(item);
        handle_request(fake, *request);
        return;
    }
    if (fake.faults.frozen) {
        return; // resume() sets the timer again
    }
    if (item.phase == job_phase::running) {
        finish_work(item);
        return;
    }
    if (item.phase == job_phase::queued) {
        --fake.queued;
        ++fake.counts.deadline_passed;
        deliver_answer(item,
                       {status_deadline_passed, "not_run", "", item.work, ""});
        return;
    }
    deliver_answer(item, std::move(item.answer));
}

} // namespace

void hold_request(leaf& fake, evhttp_request& request,
                  open_connection& connection, job_phase phase, boot_time until)
{
    if (fake.jobs.size() >= max_held_requests) {
        close_without_response(request);
        return;
    }
    auto& item = fake.jobs.emplace_back();
    item.owner = &fake;
    item.request = &request;
    item.connection = &connection;
    item.phase = phase;
    if (phase == job_phase::connecting) {
        set_timer(item, until);
    }
}

void admit_work(leaf& fake, evhttp_request& request, std::string_view service)
{
    auto parsed = parse_work(fake, request, service);
    if (!parsed) {
        ++fake.counts.malformed;
        reply(request, 400, {{"Bulrushspring-Run", "not_run"}}, "");
        return;
    }
    if (const auto* reason = refusal_reason(fake, *parsed); *reason != '\0') {
        send(fake, request, make_refusal(*parsed, reason));
        return;
    }
    auto* connection = connection_of(*fake.connections, request);
    connection->pending = &request;
    auto& item = fake.jobs.emplace_back();
    item.owner = &fake;
    item.request = &request;
    item.connection = connection;
    item.work = std::move(*parsed);
    item.deadline = fake.time.now() + item.work.time_left;
    if (fake.running < fake.options.slots) {
        start_work(item);
        return;
    }
    item.phase = job_phase::queued;
    ++fake.queued;
    if (item.work.time_left > duration{0}) {
        set_timer(item, item.deadline);
    }
}

void cancel_attempt(leaf& fake, std::string_view attempt)
{
    const auto found =
        std::find_if(fake.jobs.begin(), fake.jobs.end(), [&](const job& it) {
            return it.work.attempt == attempt &&
                   (it.phase == job_phase::queued ||
                    it.phase == job_phase::running);
        });
    if (found == fake.jobs.end()) {
        return;
    }
    const bool ran = found->phase == job_phase::running;
    if (ran) {
        --fake.running;
        ++fake.counts.cancelled_running;
    } else {
        --fake.queued;
        ++fake.counts.cancelled_queued;
    }
    deliver_answer(*found, {status_cancelled, ran ? "ran" : "not_run", "",
                            found->work, ""});
    start_queued(fake);
}

void start_queued(leaf& fake)
{
    for (auto& item : fake.jobs) {
        if (fake.running >= fake.options.slots || fake.queued == 0) {
            return;
        }
        if (item.phase == job_phase::queued) {
            --fake.queued;
            start_work(item);
        }
    }
}

void resume(leaf& fake)
{
    const auto now = fake.time.now();
    std::vector<job*> ended;
    std::vector<evhttp_request*> unread;
    for (auto& item : fake.jobs) {
        if (item.phase == job_phase::frozen) {
            unread.push_back(item.request);
        } else if (item.phase == job_phase::answering) {
            ended.push_back(&item);
        } else if (item.phase == job_phase::running) {
            set_timer(item,
                      std::max(now, end_or_deadline(item, item.work_end)));
        } else if (item.phase == job_phase::queued &&
                   item.work.time_left > duration{0}) {
            set_timer(item, std::max(now, item.deadline));
        }
    }
    fake.jobs.remove_if(
        [](const job& it) { return it.phase == job_phase::frozen; });
    for (auto* item : ended) {
        deliver_answer(*item, std::move(item->answer));
    }
    for (auto* request : unread) {
        handle_request(fake, *request);
    }
}

void release_connection(leaf& fake, open_connection& closed)
{
    for (auto it = fake.jobs.begin(); it != fake.jobs.end();) {
        auto& item = *it++;
        if (item.connection != &closed) {
            continue;
        }
        item.request = nullptr;
        if (item.phase == job_phase::queued) {
            --fake.queued;
        }
        if (item.phase != job_phase::running) {
            ++fake.counts.unsent;
            remove_job(item);
        }
    }
}

} // namespace bulrushspring::fakes
