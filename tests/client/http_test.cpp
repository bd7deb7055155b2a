#include "fakes/http/server.hpp"
#include "libraries/client/answer.hpp"
#include "libraries/client/load.hpp"
#include "libraries/client/load_report.hpp"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include <atomic>
#include <map>
#include <set>
#include <thread>

using namespace bulrushspring;

namespace
{

const endpoint any_port{0x7F000001, 0};

// A server with its own event loop and thread, for blocking clients.
struct threaded_server {
    client::event_base_pointer base = client::make_event_base();
    std::unique_ptr<fakes::http_server> server;
    std::atomic<bool> stop{false};
    std::thread thread;

    explicit threaded_server(fakes::request_handler handler)
        : server(std::move(
              fakes::open_server(*base, any_port, std::move(handler)).value()))
    {
        thread = std::thread([this] {
            while (!stop) {
                const timeval step{0, 5'000};
                event_base_loopexit(base.get(), &step);
                event_base_loop(base.get(), EVLOOP_ONCE);
            }
        });
    }
    ~threaded_server()
    {
        stop = true;
        thread.join();
    }
};

const client::http_request any_request{client::http_method::get, "/", {}, ""};

// Answers like the only entry of a fleet.
void act_as_entry(evhttp_request& request)
{
    if (fakes::path_of(request) == "/v1/addresses") {
        const auto host = fakes::header_of(request, "Host");
        fakes::reply(request, 200, {},
                     R"({"entries":[{"address":")" + host +
                         R"("}],"hold_ms":60000,"grant":"g",)" +
                         R"("grant_hold_ms":60000})");
        return;
    }
    caller_answer answer;
    answer.status = answer_status::answered;
    answer.run = execution::ran;
    answer.request_id = fakes::header_of(request, "Bulrushspring-Request-Id");
    answer.shards = 10;
    fakes::reply(request, 200, {}, client::answer_json(answer));
}

} // namespace

BOOST_AUTO_TEST_CASE(refused_connection_is_known_to_have_sent_nothing)
{
    endpoint closed;
    {
        threaded_server server([](evhttp_request&) {});
        closed = server.server->address;
    }
    const auto ended = client::exchange(closed, any_request, seconds{10});
    BOOST_TEST(ended.response.has_error());
    BOOST_TEST(!ended.sent);
}

BOOST_AUTO_TEST_CASE(request_on_a_dropped_connection_counts_as_sent)
{
    threaded_server server(
        [](evhttp_request& it) { fakes::close_without_response(it); });
    const auto ended =
        client::exchange(server.server->address, any_request, seconds{10});
    BOOST_TEST(ended.response.has_error());
    BOOST_TEST(ended.sent);
}

BOOST_AUTO_TEST_CASE(request_without_an_answer_times_out_as_sent)
{
    threaded_server server([](evhttp_request&) {});
    const auto ended = client::exchange(server.server->address, any_request,
                                        milliseconds{100});
    BOOST_REQUIRE(ended.response.has_error());
    BOOST_TEST((ended.response.error().code == errc::timed_out));
    BOOST_TEST(ended.sent);
}

BOOST_AUTO_TEST_CASE(oversized_answers_are_refused)
{
    for (const bool in_header : {false, true}) {
        threaded_server server([in_header](evhttp_request& request) {
            const std::string large(client::max_answer_bytes + 1, 'x');
            if (in_header) {
                fakes::reply(request, 200, {{"X-Large", large}}, "");
            } else {
                fakes::reply(request, 200, {}, large);
            }
        });
        const auto ended =
            client::exchange(server.server->address, any_request, seconds{10});
        BOOST_TEST(ended.response.has_error());
    }
}

BOOST_AUTO_TEST_CASE(uri_encoding_survives_a_round_trip)
{
    std::string seen;
    std::atomic<bool> done{false};
    const std::string key = "a/b?c&d=é %+";
    threaded_server server([&](evhttp_request& request) {
        seen = fakes::query_of(request)["key"];
        done = true;
        fakes::reply(request, 200, {}, "");
    });
    auto request = any_request;
    request.target = "/?key=" + client::uri_encoded(key);
    client::exchange(server.server->address, request, seconds{10});
    BOOST_TEST_REQUIRE(done.load());
    BOOST_TEST(seen == key);
}

BOOST_AUTO_TEST_CASE(load_makes_every_call_and_counts_late_starts_as_latency)
{
    threaded_server server(act_as_entry);
    client::load_options options;
    options.bootstrap = {server.server->address};
    options.rate = 1000;
    options.load_duration = milliseconds{500};
    options.arrival_process = client::arrivals::fixed;
    options.call_template.service = "search";
    options.callers = {{"a", 3}, {"b", 1}};
    options.max_connections = 1; // the waiting time counts as latency
    client::load_report report;
    report.load_duration = options.load_duration;
    std::map<std::string, int> by_caller;
    std::set<std::string> ids;
    client::run_load(options, system_boot_clock{},
                     [&](const client::history_line& line) {
                         client::add(report, line);
                         ++by_caller[line.what.caller];
                         ids.insert(line.what.id);
                         BOOST_TEST((line.ended > line.invoked));
                     });
    BOOST_TEST(report.calls >= 499U);
    BOOST_TEST(report.calls <= 500U);
    BOOST_TEST(ids.size() == report.calls);
    BOOST_TEST(by_caller["a"] > by_caller["b"]);
    BOOST_TEST(report.by_status[0] == report.calls);
    BOOST_TEST(client::mean_coverage(report) == 1.0);
    report.leaf_executions = 10 * report.calls + report.calls / 2;
    BOOST_TEST(*client::extra_load(report) > 0.04);
    BOOST_TEST(*client::extra_load(report) < 0.06);
}

BOOST_AUTO_TEST_CASE(quantiles_are_close_and_never_too_low)
{
    auto histogram = client::make_latency_histogram();
    BOOST_TEST((client::quantile(histogram, 0.5) == duration{0}));
    for (int micros = 1000; micros <= 100'000; micros += 1000) {
        histogram(static_cast<double>(micros));
    }
    for (const auto& [share, exact] :
         {std::pair{0.5, 50.0}, {0.95, 95.0}, {0.99, 99.0}, {1.0, 100.0}}) {
        const auto value = std::chrono::duration<double, std::milli>(
                               client::quantile(histogram, share))
                               .count();
        BOOST_TEST(value >= exact);
        BOOST_TEST(value <= exact * 1.03);
    }
}
