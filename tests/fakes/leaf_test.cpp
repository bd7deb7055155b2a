#include "fakes/leaf/result.hpp"
#include "tests/fakes/fixture.hpp"

using namespace bulrushspring;
using namespace bulrushspring::tests;

BOOST_AUTO_TEST_CASE(leaf_echoes_request_headers_and_returns_complete_result)
{
    leaf_fixture test(fast_leaf_options());
    const auto response =
        send(test, test.connect(test.address()), work_request({}));
    BOOST_TEST(response->status() == 200);
    BOOST_TEST(response->header("Bulrushspring-Request-Id") == "r1");
    BOOST_TEST(response->header("Bulrushspring-Attempt") == "e-1-1");
    BOOST_TEST(response->header("Bulrushspring-Run") == "ran");
    BOOST_TEST(response->response().body ==
               fakes::shard_result({"search", "maternity leave", 1, 0}));
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(leaf_refuses_shards_it_does_not_hold_without_execution)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    auto gone = send(test, connection, work_request({.snapshot = "2"}));
    BOOST_TEST(gone->status() == 503);
    BOOST_TEST(gone->header("Bulrushspring-Refusal") == "snapshot_gone");
    BOOST_TEST(gone->header("Bulrushspring-Run") == "not_run");
    BOOST_TEST(gone->header("Bulrushspring-Current-Snapshot") == "1");
    auto other = send(test, connection, work_request({.shard = "7"}));
    BOOST_TEST(other->header("Bulrushspring-Refusal") == "shard_not_held");
    auto current = send(test, connection, work_request({.snapshot = "0"}));
    BOOST_TEST(current->status() == 200);
    BOOST_TEST(current->header("Bulrushspring-Snapshot") == "1");
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(malformed_work_is_refused_without_execution)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    for (const work_parameters& bad :
         {work_parameters{.id = ""}, work_parameters{.attempt = ""},
          work_parameters{.snapshot = "x"}, work_parameters{.shard = "-1"},
          work_parameters{.deadline_ms = "1e3"}}) {
        const auto response = send(test, connection, work_request(bad));
        BOOST_TEST(response->status() == 400);
        BOOST_TEST(response->header("Bulrushspring-Run") == "not_run");
    }
    BOOST_TEST(test.leaf().executions.total == 0U);
    BOOST_TEST(test.leaf().counts.malformed == 5U);
}

BOOST_AUTO_TEST_CASE(full_leaf_refuses_work_as_shed)
{
    auto options = fast_leaf_options();
    options.slots = 1;
    options.queue = 1;
    options.work.mean = seconds{60};
    leaf_fixture test(options);
    auto running = start(test.connect(test.address()), work_request({}));
    test.run_until([&] { return test.leaf().running == 1; });
    auto queued =
        start(test.connect(test.address()), work_request({.attempt = "e-1-2"}));
    test.run_until([&] { return test.leaf().queued == 1; });
    auto& third = test.connect(test.address());
    const auto shed = send(test, third, work_request({.attempt = "e-1-3"}));
    BOOST_TEST(shed->header("Bulrushspring-Refusal") == "shed");
    BOOST_TEST(shed->header("Bulrushspring-Run") == "not_run");
    const auto probe = send(test, third, get_request("/v1/probe"));
    BOOST_TEST(probe->status() == 200); // probes use no slot
    BOOST_TEST(probe->header("Bulrushspring-Queued") == "1");
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(cancellation_frees_the_slot_and_reports_execution)
{
    auto options = fast_leaf_options();
    options.slots = 1;
    options.work.mean = seconds{60};
    leaf_fixture test(options);
    auto running = start(test.connect(test.address()), work_request({}));
    test.run_until([&] { return test.leaf().running == 1; });
    auto queued =
        start(test.connect(test.address()), work_request({.attempt = "e-1-2"}));
    test.run_until([&] { return test.leaf().queued == 1; });
    auto& connection = test.connect(test.address());
    for (const auto* attempt : {"e-1-2", "e-1-1", "e-9-9"}) {
        const client::http_request request{client::http_method::remove,
                                           std::string("/v1/work/") + attempt,
                                           {},
                                           ""};
        const auto cancelled = send(test, connection, request);
        BOOST_TEST(cancelled->status() == 204);
        BOOST_TEST(cancelled->header("Bulrushspring-Warm") == "yes");
    }
    finish(test, queued);
    finish(test, running);
    BOOST_TEST(queued->status() == 499);
    BOOST_TEST(queued->header("Bulrushspring-Run") == "not_run");
    BOOST_TEST(running->status() == 499);
    BOOST_TEST(running->header("Bulrushspring-Run") == "ran");
    BOOST_TEST(test.leaf().running == 0U);
}

BOOST_AUTO_TEST_CASE(deadlines_apply_to_queued_and_running_work)
{
    auto options = fast_leaf_options();
    options.slots = 1;
    options.work.mean = seconds{60};
    leaf_fixture test(options);
    auto running = start(test.connect(test.address()),
                         work_request({.deadline_ms = "300"}));
    test.run_until([&] { return test.leaf().running == 1; });
    auto queued =
        start(test.connect(test.address()),
              work_request({.attempt = "e-1-2", .deadline_ms = "20"}));
    finish(test, queued);
    finish(test, running);
    BOOST_TEST(queued->status() == 504);
    BOOST_TEST(queued->header("Bulrushspring-Run") == "not_run");
    BOOST_TEST(running->status() == 504);
    BOOST_TEST(running->header("Bulrushspring-Run") == "ran");
}

BOOST_AUTO_TEST_CASE(connections_over_the_limit_are_refused_and_counted)
{
    auto options = fast_leaf_options();
    options.connections = 2;
    leaf_fixture test(options);
    auto& first = test.connect(test.address());
    auto& second = test.connect(test.address());
    auto& third = test.connect(test.address());
    const auto probe = get_request("/v1/probe");
    BOOST_TEST(send(test, first, probe)->status() == 200);
    BOOST_TEST(send(test, second, probe)->status() == 200);
    BOOST_TEST(!send(test, third, probe)->answered());
    first.handle.reset(); // closes the connection
    test.run_until([&] { return test.leaf().connections->open.size() == 1; });
    BOOST_TEST(send(test, third, probe)->status() == 200);
    BOOST_TEST(test.leaf().counts.most_connections == 2U);
    BOOST_TEST(test.leaf().counts.connections_refused == 1U);
}

BOOST_AUTO_TEST_CASE(connection_closed_during_work_is_detected)
{
    auto options = fast_leaf_options();
    options.work.mean = seconds{60};
    leaf_fixture test(options);
    auto& connection = test.connect(test.address());
    auto lost = start(connection, work_request({}));
    test.run_until([&] { return test.leaf().running == 1; });
    connection.handle.reset();
    test.run_until([&] { return test.leaf().connections->open.empty(); });
    BOOST_TEST(test.leaf().running == 1U); // the work continues
}

BOOST_AUTO_TEST_CASE(new_connection_delays_its_first_answer)
{
    auto options = fast_leaf_options();
    options.connect_cost = milliseconds{100};
    leaf_fixture test(options);
    auto& connection = test.connect(test.address());
    const auto before = test.time.now();
    send(test, connection, get_request("/v1/probe"));
    BOOST_TEST((test.time.now() - before).count() >= 99'000'000);
}

BOOST_AUTO_TEST_CASE(draining_leaf_finishes_running_work_and_refuses_new_work)
{
    auto options = fast_leaf_options();
    options.work.mean = milliseconds{200};
    leaf_fixture test(options);
    auto running = start(test.connect(test.address()), work_request({}));
    test.run_until([&] { return test.leaf().running == 1; });
    test.set_faults({{"draining", "1"}});
    auto& connection = test.connect(test.address());
    const auto refused =
        send(test, connection, work_request({.attempt = "e-1-2"}));
    BOOST_TEST(refused->header("Bulrushspring-Refusal") == "draining");
    BOOST_TEST(refused->header("Bulrushspring-Draining") == "yes");
    const auto probe = send(test, connection, get_request("/v1/probe"));
    BOOST_TEST(probe->header("Bulrushspring-Draining") == "yes");
    finish(test, running);
    BOOST_TEST(running->status() == 200);
    BOOST_TEST(running->header("Bulrushspring-Draining") == "yes");
}

BOOST_AUTO_TEST_CASE(silent_connections_stay_silent_while_new_ones_work)
{
    leaf_fixture test(fast_leaf_options());
    auto& old = test.connect(test.address());
    send(test, old, get_request("/v1/probe"));
    test.set_faults({{"silent", "1"}, {"silent_hold_ms", "300"}});
    auto unanswered = start(old, work_request({}));
    auto& new_connection = test.connect(test.address());
    BOOST_TEST(send(test, new_connection, work_request({.attempt = "e-1-2"}))
                   ->status() == 200);
    BOOST_TEST(!unanswered->ended());
    old.handle.reset(); // the leaf does not detect it
    BOOST_TEST(test.leaf().connections->open.size() == 2U);
    test.run_until([&] { return test.leaf().connections->open.size() == 1; });
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(answer_is_lost_if_connection_becomes_silent_during_work)
{
    auto options = fast_leaf_options();
    options.work.mean = milliseconds{100};
    leaf_fixture test(options);
    auto lost = start(test.connect(test.address()), work_request({}));
    test.run_until([&] { return test.leaf().running == 1; });
    test.set_faults({{"silent", "1"}});
    test.run_until([&] { return test.leaf().counts.unsent == 1; });
    send(test, test.connect(test.address()), get_request("/v1/probe"));
    BOOST_TEST(!lost->ended());
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(frozen_leaf_handles_held_requests_after_it_resumes)
{
    leaf_fixture test(fast_leaf_options());
    test.set_faults({{"frozen", "1"}});
    auto held = start(test.connect(test.address()), work_request({}));
    test.run_until([&] { return test.leaf().jobs.size() == 1; });
    BOOST_TEST(test.leaf().executions.total == 0U);
    test.set_faults({{"frozen", "0"}});
    finish(test, held);
    BOOST_TEST(held->status() == 200);
}

BOOST_AUTO_TEST_CASE(dropping_leaf_closes_connections)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    send(test, connection, get_request("/v1/probe"));
    test.set_faults({{"dropping", "1"}});
    BOOST_TEST(!send(test, connection, work_request({}))->answered());
    BOOST_TEST(!send(test, connection, work_request({}))->answered());
    test.set_faults({{"dropping", "0"}});
    BOOST_TEST(send(test, connection, work_request({}))->status() == 200);
    BOOST_TEST(test.leaf().executions.total == 1U);
}

BOOST_AUTO_TEST_CASE(mismatched_answer_belongs_to_another_request)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    send(test, connection, work_request({.id = "first"}));
    test.set_faults({{"crossed_share", "1"}});
    const auto mismatched =
        send(test, connection, work_request({.id = "second"}));
    BOOST_TEST(mismatched->header("Bulrushspring-Request-Id") == "first");
}

BOOST_AUTO_TEST_CASE(late_answer_comes_after_the_deadline)
{
    leaf_fixture test(fast_leaf_options());
    test.set_faults({{"late_share", "1"}, {"late_ms", "80"}});
    const auto before = test.time.now();
    const auto late = send(test, test.connect(test.address()),
                           work_request({.deadline_ms = "20"}));
    BOOST_TEST(late->status() == 200);
    BOOST_TEST((test.time.now() - before >= milliseconds{79}));
    BOOST_TEST(test.leaf().running == 0U);
}

BOOST_AUTO_TEST_CASE(shards_and_snapshots_can_change_at_run_time)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    test.set_faults({{"lose_shard", "1"}, {"snapshot", "2"}});
    auto former = send(test, connection, work_request({}));
    BOOST_TEST(former->header("Bulrushspring-Refusal") == "snapshot_gone");
    BOOST_TEST(former->header("Bulrushspring-Current-Snapshot") == "2");
    auto lost =
        send(test, connection, work_request({.snapshot = "2", .shard = "1"}));
    BOOST_TEST(lost->header("Bulrushspring-Refusal") == "shard_not_held");
    test.set_faults({{"holds", "1/0 2/1"}});
    BOOST_TEST(send(test, connection, work_request({}))->status() == 200);
}

BOOST_AUTO_TEST_CASE(unknown_or_malformed_fault_changes_nothing)
{
    leaf_fixture test(fast_leaf_options());
    for (const fakes::query_values& bad :
         {fakes::query_values{{"draining", "1"}, {"no_such", "1"}},
          fakes::query_values{{"draining", "1"}, {"late_ms", "-1"}},
          fakes::query_values{{"draining", "1"}, {"straggle_ms", "1x"}},
          fakes::query_values{{"draining", "1"}, {"holds", "1"}}}) {
        BOOST_TEST(!fakes::apply_faults(test.leaf(), bad).has_value());
    }
    BOOST_TEST(!test.leaf().faults.draining);
}

BOOST_AUTO_TEST_CASE(health_may_be_stale_or_false_while_probe_is_accurate)
{
    leaf_fixture test(fast_leaf_options());
    auto& connection = test.connect(test.address());
    const auto health = get_request("/v1/health");
    send(test, connection, health);
    test.set_faults({{"draining", "1"}});
    const auto lagging = send(test, connection, health)->response().body;
    BOOST_TEST(lagging.find("\"ok\"") != std::string::npos);
    test.leaf().options.health_lag = duration{0};
    const auto current = send(test, connection, health)->response().body;
    BOOST_TEST(current.find("\"draining\"") != std::string::npos);
    test.set_faults({{"lying_health", "1"}});
    const auto false_report = send(test, connection, health)->response().body;
    BOOST_TEST(false_report.find("\"ok\"") != std::string::npos);
    BOOST_TEST(send(test, connection, get_request("/v1/probe"))
                   ->header("Bulrushspring-Draining") == "yes");
}

BOOST_AUTO_TEST_CASE(execution_log_is_bounded_and_served)
{
    leaf_fixture test(fast_leaf_options());
    test.leaf().executions.max_idempotent = 2;
    auto& connection = test.connect(test.address());
    send(test, connection,
         work_request({.id = "order", .key = "k", .idempotent = "no"}));
    for (const auto* attempt : {"a", "b", "c", "d"}) {
        send(test, connection, work_request({.attempt = attempt}));
    }
    auto& admin = test.connect(test.host->operators->address);
    const auto orders = send(test, admin, get_request("/admin/executions"));
    BOOST_TEST(orders->response().body.find("\"request_id\":\"order\"") !=
               std::string::npos);
    const auto queries =
        send(test, admin, get_request("/admin/executions?idempotent=yes"));
    BOOST_TEST(queries->response().body.find("\"dropped\":2") !=
               std::string::npos);
    BOOST_TEST(test.leaf().executions.idempotent.size() == 2U);
    BOOST_TEST(test.leaf().executions.others.size() == 1U);
}

BOOST_AUTO_TEST_CASE(oversized_headers_and_bodies_are_refused)
{
    leaf_fixture test(fast_leaf_options());
    auto large_body = work_request({});
    large_body.body.assign(fakes::max_request_bytes + 1, 'x');
    const auto body = send(test, test.connect(test.address()), large_body);
    BOOST_TEST((!body->answered() || body->status() >= 400));
    auto large_header = work_request({});
    large_header.headers.push_back({"X-Large", std::string(64'000, 'x')});
    const auto header = send(test, test.connect(test.address()), large_header);
    BOOST_TEST((!header->answered() || header->status() >= 400));
    BOOST_TEST(test.leaf().executions.total == 0U);
}

BOOST_AUTO_TEST_CASE(pool_section_survives_a_round_trip)
{
    auto options = fast_leaf_options();
    options.name = "jc-1-a";
    options.address = parse_endpoint("127.0.0.1:9001").value();
    options.holdings = {{17, {3, 5}}, {18, {3}}};
    options.current_snapshot = 17;
    const auto text = fakes::pool_section({options});
    const auto parsed = fakes::parse_pool(text, {});
    BOOST_REQUIRE(parsed.has_value());
    BOOST_TEST(fakes::pool_section(parsed.value()) == text);
    BOOST_TEST((parsed.value().front().holdings == options.holdings));
    BOOST_TEST(fakes::parse_pool(text, {"other"}).value().empty());
    BOOST_TEST(!fakes::parse_pool("[leaf a]\n", {}).has_value());
}
