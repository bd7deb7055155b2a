#include "libraries/client/load.hpp"

#include "libraries/client/caller.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <utility>

namespace bulrushspring::client
{
namespace
{

struct load_run;

// A simulated caller.
struct load_client {
    address_book book;
    std::string data_centre;
};

// A call in progress.
struct load_call {
    load_run* run = nullptr;
    load_client* client = nullptr;
    boot_time due;
    call_progress progress;
    call_step step;
    event_pointer timer; // for pauses
    std::list<load_call>::iterator self;
};

struct pooled_connection {
    std::unique_ptr<http_connection> connection;
    load_call* user = nullptr;
    boot_time began;
};

// The connections to one entry, and the calls that wait for a free one.
struct connection_pool {
    std::list<pooled_connection> connections;
    std::vector<pooled_connection*> idle;
    std::deque<load_call*> waiting;
};

struct load_run {
    const load_options& options;
    const clock& time;
    const call_watcher& watch;
    event_base_pointer base;
    random_source random;
    std::vector<load_client> clients;
    std::map<std::uint64_t, connection_pool> pools; // by packed endpoint
    std::list<load_call> calls;
    event_pointer arrival;
    boot_time next_due;
    boot_time last_due;
};

std::uint64_t packed(const endpoint& value)
{
    return std::uint64_t{value.address} << 16U | value.port;
}

void advance(load_call& item);

void finish(load_call& item)
{
    auto& run = *item.run;
    run.watch({item.progress.what, item.due, run.time.now(),
               std::move(item.progress.outcome)});
    run.calls.erase(item.self);
    const bool over = run.next_due > run.last_due && run.calls.empty();
    if (over) {
        event_base_loopbreak(run.base.get());
    }
}

void use(load_run& run, connection_pool& pool, pooled_connection& over,
         load_call& item);

void on_exchange_end(load_run& run, connection_pool& pool,
                     pooled_connection& over, const exchange_result& ended)
{
    auto& item = *std::exchange(over.user, nullptr);
    const auto began = over.began;
    auto& book = item.client->book;
    if (const auto* asked = std::get_if<ask_addresses>(&item.step)) {
        take_addresses(item.progress, book, asked->from, ended, began);
    } else {
        take_answer(item.progress, book, ended, run.time.now());
    }
    if (pool.waiting.empty()) {
        pool.idle.push_back(&over);
    } else {
        auto* next = pool.waiting.front();
        pool.waiting.pop_front();
        use(run, pool, over, *next);
    }
    advance(item);
}

void use(load_run& run, connection_pool& pool, pooled_connection& over,
         load_call& item)
{
    over.user = &item;
    over.began = run.time.now();
    const auto done = [&run, &pool, &over](const exchange_result& ended) {
        on_exchange_end(run, pool, over, ended);
    };
    if (const auto* asked = std::get_if<ask_addresses>(&item.step)) {
        start_exchange(*over.connection, asked->request, asked->timeout, done);
    } else if (const auto* sent = std::get_if<send_call>(&item.step)) {
        start_exchange(*over.connection, sent->request, sent->timeout, done);
    }
}

void exchange_with(load_run& run, const endpoint& entry, load_call& item)
{
    auto& pool = run.pools[packed(entry)];
    if (!pool.idle.empty()) {
        auto* over = pool.idle.back();
        pool.idle.pop_back();
        use(run, pool, *over, item);
        return;
    }
    if (pool.connections.size() >= run.options.max_connections) {
        pool.waiting.push_back(&item);
        return;
    }
    auto& made = pool.connections.emplace_back();
    made.connection = std::make_unique<http_connection>(*run.base, entry);
    use(run, pool, made, item);
}

void on_pause_timeout(evutil_socket_t /*unused*/, short /*unused*/,
                      void* argument)
{
    advance(*static_cast<load_call*>(argument));
}

void pause(load_call& item, duration wait)
{
    if (!item.timer) {
        item.timer.reset(
            evtimer_new(item.run->base.get(), on_pause_timeout, &item));
    }
    arm_timer(item.timer.get(), wait);
}

void advance(load_call& item)
{
    auto& run = *item.run;
    item.step = next_step(item.progress, item.client->book, run.time.now());
    if (const auto* asked = std::get_if<ask_addresses>(&item.step)) {
        exchange_with(run, asked->from, item);
    } else if (const auto* sent = std::get_if<send_call>(&item.step)) {
        exchange_with(run, sent->to, item);
    } else if (const auto* wait = std::get_if<pause_call>(&item.step)) {
        pause(item, wait->wait);
    } else {
        finish(item);
    }
}

const std::string& choose_caller(load_run& run)
{
    static const std::string no_name;
    double total = 0.0;
    for (const auto& it : run.options.callers) {
        total += it.share;
    }
    double left = random_fraction(run.random) * total;
    for (const auto& it : run.options.callers) {
        left -= it.share;
        if (left < 0.0) {
            return it.name;
        }
    }
    return run.options.callers.empty() ? no_name
                                       : run.options.callers.back().name;
}

void make_call(load_run& run)
{
    auto& item = run.calls.emplace_back();
    auto what = run.options.call_template;
    const auto number =
        std::to_string(random_below(run.random, run.options.distinct_texts));
    item.run = &run;
    item.self = std::prev(run.calls.end());
    item.client = &run.clients[random_below(run.random, run.clients.size())];
    item.due = run.next_due;
    what.id = make_request_id(run.random);
    what.bind_id = true;
    what.caller = choose_caller(run);
    what.data_centre = item.client->data_centre;
    what.body = "text " + number;
    if (what.kind != manifest::service_kind::query) {
        what.key = "key " + number;
    }
    item.progress =
        begin_call(item.client->book, std::move(what), run.time.now());
    advance(item);
}

void arm_arrival(load_run& run)
{
    arm_timer(run.arrival.get(), run.next_due - run.time.now());
}

// Makes every call that is due, so that a late timer delays calls but skips
// none.
void on_arrival(evutil_socket_t /*unused*/, short /*unused*/, void* argument)
{
    auto& run = *static_cast<load_run*>(argument);
    while (run.next_due <= run.time.now() && run.next_due <= run.last_due) {
        make_call(run);
        run.next_due += draw_gap(run.options, run.random);
    }
    if (run.next_due <= run.last_due) {
        arm_arrival(run);
    } else if (run.calls.empty()) {
        event_base_loopbreak(run.base.get());
    }
}

} // namespace

duration draw_gap(const load_options& options, random_source& random)
{
    const std::chrono::duration<double> mean(1.0 / options.rate);
    const double factor = options.arrival_process == arrivals::fixed
                              ? 1.0
                              : -std::log1p(-random_fraction(random));
    return std::chrono::duration_cast<duration>(mean * factor);
}

void run_load(const load_options& options, const clock& time,
              const call_watcher& watch)
{
    load_run run{options, time, watch, make_event_base()};
    run.random.seed(options.seed);
    run.clients.resize(std::max<std::uint32_t>(1, options.clients));
    for (std::size_t i = 0; i < run.clients.size(); ++i) {
        run.clients[i].book.bootstrap = options.bootstrap;
        shuffle(std::span(run.clients[i].book.bootstrap), run.random);
        const auto& centres = options.data_centres;
        if (!centres.empty()) {
            run.clients[i].data_centre = centres[i % centres.size()];
        }
    }
    run.next_due = time.now() + draw_gap(options, run.random);
    run.last_due = time.now() + options.load_duration;
    run.arrival.reset(evtimer_new(run.base.get(), on_arrival, &run));
    arm_arrival(run);
    event_base_dispatch(run.base.get());
}

} // namespace bulrushspring::client
