#ifndef BULRUSHSPRING_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP
#define BULRUSHSPRING_TESTS_GATEWAY_GATEWAY_FIXTURE_HPP

#include "libraries/gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

// One gateway daemon with a manual clock, whose effects are recorded.
namespace bulrushspring::gateway::test
{

struct gateway_fixture {
    manual_clock clock;
    std::vector<effect> effects; // not taken yet
    std::vector<bulrushspring::effect> shared;
    std::uint64_t last_identifier = 0;
    gateway::options settings;
    gateway::state state;
    std::uint64_t revision = 0;
    std::uint64_t last_token = 0;
    std::shared_ptr<routing::table> table = std::make_shared<routing::table>();

    explicit gateway_fixture(double extra_requests = 100)
    {
        settings.exchanges.budget = {seconds{10}, 0.0, 0.0};
        // The fleet has two daemons, so that this one takes half.
        settings.budget_share = 1.0;
        settings.budget_slack = 2 * extra_requests;
        wire::member_record self;
        self.name = "entry-1";
        self.data_centre = "kl-1";
        self.region = "kl";
        self.peer = parse_endpoint("127.0.0.1:7002").value();
        self.caller = parse_endpoint("127.0.0.1:7001").value();
        self.incarnation = 1;
        state = gateway::make_state(self, {}, settings, clock.now());
        table->version = 1;
        advance(seconds{11}, milliseconds{500});
        effects.clear();
    }

    // Delivers a ping of the other daemon of the fleet.
    void receive_peer_ping()
    {
        wire::ping ping;
        ping.sequence = ++last_ping_sequence;
        ping.from.name = "entry-2";
        ping.from.data_centre = "kl-1";
        ping.from.region = "kl";
        ping.from.peer = parse_endpoint("127.0.0.1:7004").value();
        ping.from.caller = parse_endpoint("127.0.0.1:7003").value();
        ping.from.incarnation = 1;
        ping.from.refutation = ++refutation;
        feed(datagram_received{ping.from.peer, ping});
    }

    void feed(const any_event& what)
    {
        bulrushspring::context shared_context{clock.now(), shared,
                                              last_identifier};
        gateway::context context{clock.now(), effects, shared_context};
        gateway::reduce(state, what, context);
    }

    // Advances the clock in steps, with a tick whenever one is due and a ping
    // of the peer every 500 ms.
    void advance(duration span, duration step = milliseconds{1})
    {
        for (duration left = span; left > duration{0}; left -= step) {
            clock.advance(step);
            if (clock.now() >= next_ping_at) {
                next_ping_at = clock.now() + milliseconds{500};
                receive_peer_ping();
            }
            if (clock.now() >= gateway::next_wakeup(state)) {
                feed(tick{});
            }
        }
    }

    void publish_table()
    {
        topology::records_learned learned;
        learned.source = "store";
        learned.revision = ++revision;
        learned.records.push_back(
            {{"table", revision, false, ""},
             routing::table_pointer(std::make_shared<routing::table>(*table))});
        feed(learned);
    }

    void publish(const routing::leaf& leaf, bool removed = false)
    {
        topology::records_learned learned;
        learned.source = "store";
        learned.revision = ++revision;
        learned.records.push_back(
            {{"leaf/" + leaf.id, revision, removed, ""}, leaf});
        feed(learned);
    }

    static routing::leaf leaf(const std::string& id, const std::string& service)
    {
        routing::leaf made;
        made.id = id;
        made.service = service;
        made.address = parse_endpoint("127.0.0.1:9001").value();
        made.data_centre = "kl-1";
        made.slots = 3;
        return made;
    }

    // Publishes the next incarnation of a leaf.
    void publish_restarted(const std::string& id, const std::string& service)
    {
        auto restarted = leaf(id, service);
        restarted.incarnation = 2;
        publish(restarted);
    }

    // A route for queries over the shards s0, s1, ... with two leafs each.
    void make_query_route(std::size_t shards)
    {
        routing::route route;
        route.name = "query";
        route.host = "h";
        route.prefix = "/q/";
        route.idempotent = true;
        route.timeout = seconds{2};
        route.objective = milliseconds{120};
        route.max_leafs = 2;
        route.result_limit = 2;
        route.minimum_coverage = 0.5;
        for (std::size_t i = 0; i < shards; ++i) {
            route.shards.push_back("s" + std::to_string(i));
            table->services[route.shards.back()] = {route.shards.back(),
                                                    "/health", 100};
        }
        table->routes.push_back(route);
        publish_table();
        for (const auto& shard : route.shards) {
            publish(leaf(shard + "-a", shard));
            publish(leaf(shard + "-b", shard));
        }
        connect_all();
    }

    void make_single_route(bool idempotent, std::size_t leafs)
    {
        routing::route route;
        route.name = "single";
        route.host = "h";
        route.prefix = "/s/";
        route.idempotent = idempotent;
        route.timeout = seconds{2};
        route.objective = milliseconds{400};
        route.max_leafs = 2;
        route.services.push_back({"one", 1.0});
        table->services["one"] = {"one", "/health", 100};
        table->routes.push_back(route);
        publish_table();
        for (std::size_t i = 0; i < leafs; ++i) {
            publish(leaf("one-" + std::to_string(i), "one"));
        }
        connect_all();
    }

    // Lets the daemon open its first connections and establishes all of them.
    void connect_all()
    {
        for (int i = 0; i < 60; ++i) {
            advance(milliseconds{50}, milliseconds{50});
            for (const auto& each : take<open_leaf>()) {
                feed(leaf_connected{each.connection});
            }
        }
        effects.clear();
    }

    caller_token send_request(const std::string& path,
                              duration time_left = seconds{2})
    {
        auto request = std::make_shared<forward_request>();
        request->id = "r" + std::to_string(last_token + 1);
        request->method = "GET";
        request->host = "h";
        request->target = path;
        request->time_left = time_left;
        const caller_token token{++last_token};
        feed(forward_requested{token, request});
        return token;
    }

    // Publishes the first route with this share of its shards required.
    void require_coverage(double share)
    {
        table->routes.front().minimum_coverage = share;
        ++table->version;
        publish_table();
        advance(seconds{1}, milliseconds{10});
        effects.clear();
    }

    // The only request sent to a leaf; fails the test if there is none or more
    // than one.
    send_to_leaf only_sent()
    {
        const auto sent = take<send_to_leaf>();
        BOOST_REQUIRE_EQUAL(sent.size(), 1U);
        return sent[0];
    }

    // Establishes the connections that were requested.
    void connect_requested()
    {
        for (const auto& each : take<open_leaf>()) {
            feed(leaf_connected{each.connection});
        }
    }

    // Removes the effects of one kind and returns them.
    template <typename Effect>
    std::vector<Effect> take()
    {
        std::vector<Effect> taken;
        std::erase_if(effects, [&](const effect& each) {
            if (const auto* found = std::get_if<Effect>(&each)) {
                taken.push_back(*found);
                return true;
            }
            return false;
        });
        return taken;
    }

    void reply(const send_to_leaf& to, const std::string& body,
               bool reusable = true)
    {
        leaf_reply answer;
        answer.status = 200;
        answer.signature = "seal-" + to.leaf;
        answer.body = body;
        feed(leaf_replied{to.connection, answer, reusable});
    }

    void refuse(const send_to_leaf& to, unsigned status = 503)
    {
        leaf_reply answer;
        answer.status = status;
        answer.not_run = true;
        feed(leaf_replied{to.connection, answer, true});
    }

    void disconnect(const send_to_leaf& to)
    {
        feed(leaf_disconnected{to.connection,
                               error{errc::closed, "talk HTTP", "leaf", ""}});
    }

    // The only answer; fails the test if there is none or more than one.
    forward_answer only_answer()
    {
        const auto answers = take<answer_request>();
        BOOST_REQUIRE_EQUAL(answers.size(), 1U);
        return answers[0].answer;
    }

    std::uint64_t last_ping_sequence = 0;
    std::uint32_t refutation = 0;
    boot_time next_ping_at{};
};

// Without a budget for extra attempts.
struct fixture_without_budget : gateway_fixture {
    fixture_without_budget() : gateway_fixture(0) {}
};

struct fixture_with_two_extra_attempts : gateway_fixture {
    fixture_with_two_extra_attempts() : gateway_fixture(2) {}
};

} // namespace bulrushspring::gateway::test

#endif
