#include "fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::configuration;
using namespace bulrushspring::configuration::test;

namespace
{

wire::member_record make_member(const std::string& name, std::uint16_t port)
{
    wire::member_record record;
    record.name = name;
    record.data_centre = "dc-" + name;
    record.peer = {0x7f000001, port};
    return record;
}

// Feeds events to a single reducer and keeps the effects of the last one.
struct reducer_driver {
    wire::member_record self = make_member("self", 1);
    std::vector<wire::member_record> live{
        make_member("a", 2), make_member("b", 3), make_member("c", 4)};
    boot_time now{seconds{1000}};
    state node = make_state({}, 1, now);
    std::vector<effect> effects;
    std::uint64_t last_identifier = 0;

    template <typename Event>
    void feed(const Event& event)
    {
        effects.clear();
        context context{now, effects, last_identifier};
        reduce(node, event, {live, self}, context);
    }

    void receive_digest(std::size_t from, const document_id& what)
    {
        const wire::digest seen{what.version, what.hash, 0, {}};
        feed(datagram_received{live[from].peer,
                               wire::ping{0, live[from], seen, {}, {}}});
    }

    // The requests to other daemons for documents, without those for a digest
    // only.
    std::vector<send_peer_request> document_requests() const
    {
        std::vector<send_peer_request> found;
        for (const auto& made : effects) {
            const auto* call = std::get_if<send_peer_request>(&made);
            const auto* request =
                call == nullptr
                    ? nullptr
                    : std::get_if<wire::documents_request>(&call->request);
            if (request != nullptr &&
                (request->manifest_index || !request->sections.empty())) {
                found.push_back(*call);
            }
        }
        return found;
    }

    send_peer_request only_document_request() const
    {
        const auto found = document_requests();
        BOOST_TEST_REQUIRE(found.size() == 1U);
        return found.front();
    }

    void reply(const send_peer_request& call,
               const wire::documents_reply& reply_content)
    {
        feed(peer_reply_received{call.exchange,
                                 wire::peer_reply{reply_content}});
    }
};

wire::documents_reply sections_of(const published& what, bool damaged)
{
    wire::documents_reply reply_content;
    for (const auto& [key, text] : what.sections) {
        reply_content.sections.push_back(
            {hash_content(text), damaged ? text + "\n" : text});
    }
    return reply_content;
}

wire::documents_reply index_of(const published& what)
{
    wire::documents_reply reply_content;
    reply_content.manifest_index = what.index;
    return reply_content;
}

void bring_in_force(reducer_driver& daemon, const published& what)
{
    daemon.receive_digest(0, document_id_of(what));
    daemon.reply(daemon.only_document_request(), index_of(what));
    daemon.reply(daemon.only_document_request(), sections_of(what, false));
    BOOST_TEST_REQUIRE((daemon.node.in_force.id == document_id_of(what)));
}

} // namespace

BOOST_AUTO_TEST_CASE(one_daemon_is_asked_at_a_time_and_the_next_on_failure)
{
    const auto first = make_manifest(1, 3, 0);
    reducer_driver daemon;
    daemon.receive_digest(0, document_id_of(first));
    const auto call = daemon.only_document_request();
    daemon.receive_digest(1, document_id_of(first));
    daemon.receive_digest(2, document_id_of(first));
    BOOST_TEST(daemon.document_requests().empty());

    daemon.feed(peer_reply_received{call.exchange,
                                    error{errc::closed, "ask", "a", ""}});
    BOOST_TEST((daemon.only_document_request().peer == daemon.live[1].peer));
    // A late reply to the first request is not mistaken for one to the second.
    daemon.reply(call, index_of(first));
    BOOST_TEST(daemon.document_requests().empty());
    // Neither a reply nor an error arrives.
    daemon.now += seconds{2};
    daemon.feed(tick{});
    daemon.now += seconds{2};
    daemon.feed(tick{});
    BOOST_TEST((daemon.only_document_request().peer == daemon.live[2].peer));
}

BOOST_AUTO_TEST_CASE(damaged_sections_of_a_peer_are_refused)
{
    const auto first = make_manifest(1, 3, 0);
    reducer_driver daemon;
    daemon.receive_digest(0, document_id_of(first));
    daemon.receive_digest(1, document_id_of(first));
    daemon.receive_digest(0, document_id_of(first));
    daemon.effects.clear();
    daemon.feed(
        peer_reply_received{daemon.node.fetch->pending_request->exchange,
                            wire::peer_reply{index_of(first)}});
    const auto call = daemon.only_document_request();
    daemon.reply(call, sections_of(first, true));
    BOOST_TEST((daemon.node.in_force.id == document_id{}));
    const auto next = daemon.only_document_request();
    BOOST_TEST((next.peer == daemon.live[1].peer));
    daemon.reply(next, sections_of(first, false));
    BOOST_TEST((daemon.node.in_force.id == document_id_of(first)));
}

BOOST_AUTO_TEST_CASE(only_changed_sections_are_requested_and_parsed)
{
    reducer_driver daemon;
    bring_in_force(daemon, make_manifest(1, 3, 0));
    const auto before = daemon.node.in_force.sections;
    const auto next = make_manifest(2, 3, 1);
    daemon.receive_digest(1, document_id_of(next));
    daemon.reply(daemon.only_document_request(), index_of(next));
    const auto call = daemon.only_document_request();
    const auto& request = std::get<wire::documents_request>(call.request);
    BOOST_TEST(request.sections.size() == 1U);
    daemon.reply(call, sections_of(next, false));
    const auto& after = daemon.node.in_force.sections;
    BOOST_TEST((daemon.node.in_force.id == document_id_of(next)));
    BOOST_TEST((after.at("fleet").parsed == before.at("fleet").parsed));
    BOOST_TEST((after.at("pool.p").parsed == before.at("pool.p").parsed));
    BOOST_TEST((after.at("service.s").parsed != before.at("service.s").parsed));
}

BOOST_AUTO_TEST_CASE(documents_sent_to_others_are_rate_limited)
{
    reducer_driver daemon;
    bring_in_force(daemon, make_manifest(1, 3, 0));
    const auto request_index = [&](std::uint64_t token) {
        wire::documents_request request;
        request.manifest_index = true;
        daemon.feed(peer_request_received{peer_token{token},
                                          daemon.live[0].peer, request});
        for (const auto& made : daemon.effects) {
            if (const auto* reply = std::get_if<reply_to_peer>(&made)) {
                return std::get<wire::documents_reply>(reply->reply)
                    .manifest_index.size();
            }
        }
        return std::size_t{0};
    };
    // Nothing is sent before the check has shown whether it is up to date.
    BOOST_TEST(request_index(1) == 0U);
    BOOST_TEST((digest_of(daemon.node) == wire::digest{}));
    while (!ready(daemon.node)) {
        daemon.now += milliseconds{100};
        daemon.feed(tick{});
    }
    const auto size = request_index(2);
    BOOST_TEST(size > 0U);
    const auto& settings = daemon.node.settings;
    std::size_t sent = 0;
    for (std::uint64_t i = 0; i < 100000; ++i) {
        sent += request_index(3 + i);
    }
    BOOST_TEST(static_cast<double>(sent) <= settings.max_served_burst_bytes);
    BOOST_TEST(static_cast<double>(sent) >
               settings.max_served_burst_bytes - 2.0 * size);
    daemon.now += seconds{1};
    BOOST_TEST(request_index(200000) == size);
}

BOOST_AUTO_TEST_CASE(callers_are_served_only_after_the_newer_manifest_of_a_peer)
{
    const auto next = make_manifest(2, 3, 1);
    const auto what = document_id_of(next);
    reducer_driver daemon;
    bring_in_force(daemon, make_manifest(1, 3, 0));
    daemon.now += seconds{1};
    while (!daemon.node.fetch) {
        daemon.feed(tick{});
        const auto& outstanding = daemon.node.check->outstanding;
        BOOST_TEST_REQUIRE(outstanding.has_value());
        wire::documents_reply reply_content;
        reply_content.in_force = {what.version, what.hash, 0, {}};
        daemon.feed(peer_reply_received{outstanding->exchange,
                                        wire::peer_reply{reply_content}});
    }
    daemon.node.check->answers = 3;
    daemon.now += milliseconds{100};
    daemon.feed(tick{});
    BOOST_TEST(!ready(daemon.node));
    const auto index = daemon.node.fetch->pending_request->exchange;
    daemon.feed(peer_reply_received{index, wire::peer_reply{index_of(next)}});
    daemon.reply(daemon.only_document_request(), sections_of(next, false));
    BOOST_TEST(ready(daemon.node));
    BOOST_TEST((daemon.node.in_force.id == what));
}

// A daemon of region "here" in a large fleet, a fifth of which is in another
// region.
reducer_driver daemon_of_large_fleet(std::uint64_t seed)
{
    reducer_driver daemon;
    daemon.node.random.seed(seed);
    daemon.live.clear();
    for (std::uint16_t i = 0; i < 1700; ++i) {
        auto member = make_member(std::to_string(i), 1000 + i);
        member.region = i % 5 == 0 ? "there" : "here";
        daemon.live.push_back(member);
    }
    daemon.self.region = "here";
    return daemon;
}

BOOST_AUTO_TEST_CASE(
    updates_go_to_a_constant_number_of_daemons_and_to_other_regions)
{
    const auto first = make_manifest(1, 3, 0);
    int sent_to_other_region = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        auto daemon = daemon_of_large_fleet(seed);
        bring_in_force(daemon, first);
        while (!ready(daemon.node)) {
            daemon.now += milliseconds{100};
            daemon.feed(tick{});
        }
        std::size_t sent = 0;
        for (const auto& made : daemon.effects) {
            if (const auto* datagram = std::get_if<send_datagram>(&made)) {
                ++sent;
                sent_to_other_region +=
                    (datagram->to.port - 1000) % 5 == 0 ? 1 : 0;
            }
        }
        BOOST_TEST(sent == daemon.node.settings.update_fan_out);
    }
    // A uniformly random choice would send 16 of the 80 updates there.
    BOOST_TEST(sent_to_other_region > 22);
}
