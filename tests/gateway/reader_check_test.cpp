#include "libraries/gateway/reader_check.hpp"

#include "libraries/topology/digest.hpp"
#include "tests/gateway/gateway_fixture.hpp"

namespace bulrushspring::gateway::test
{

namespace
{

// A daemon that does not read the store, since the others rank higher.
struct reader_fixture : gateway_fixture {
    std::vector<wire::member_record> others;
    std::size_t probed = 0; // pings to other daemons
    std::size_t store_calls = 0;
    bool reaches_store = true; // what the others state
    bool silent = false;

    reader_fixture()
    {
        const auto rank = [](const std::string& name) {
            return stable_hash(name);
        };
        for (int i = 0; others.size() < settings.readers; ++i) {
            wire::member_record made;
            made.name = "peer-" + std::to_string(i);
            made.data_centre = "kl-1";
            made.region = "kl";
            made.peer = {0x7F000001U, static_cast<std::uint16_t>(7100 + i)};
            made.incarnation = 1;
            if (rank(made.name) > rank("entry-1")) {
                others.push_back(made);
            }
        }
        wire::member_record second; // of gateway_fixture
        second.name = "entry-2";
        second.data_centre = "kl-1";
        second.region = "kl";
        second.peer = parse_endpoint("127.0.0.1:7004").value();
        second.incarnation = 1;
        others.push_back(second);
        publish_table();
        run(seconds{10});
        probed = 0;
        store_calls = 0;
    }

    void answer(const endpoint& from, const wire::ping& ping)
    {
        for (const auto& each : others) {
            if (each.peer == from && !silent) {
                wire::ack ack;
                ack.sequence = ping.sequence;
                ack.from = each;
                topology::record_digest stated;
                stated.level = topology::protocol_level;
                stated.reaches_store = reaches_store;
                ack.in_force = topology::to_wire(stated);
                feed(datagram_received{from, ack});
            }
        }
    }

    // Lets time pass in which the others ping this daemon and answer it.
    void run(duration span)
    {
        for (duration left = span; left > duration{0};
             left -= milliseconds{10}) {
            advance(milliseconds{10}, milliseconds{10});
            for (const auto& each : std::exchange(shared, {})) {
                const auto* sent = std::get_if<send_datagram>(&each);
                const auto* ping =
                    sent == nullptr ? nullptr
                                    : std::get_if<wire::ping>(&sent->message);
                if (ping != nullptr) {
                    ++probed;
                    answer(sent->to, *ping);
                }
            }
            for (const auto& each : take<call_store>()) {
                ++store_calls;
                feed(topology::records_learned{
                    "store", revision, each.call.index() == 0, {}});
            }
            if (!silent && clock.now() >= next_others_ping) {
                next_others_ping = clock.now() + milliseconds{500};
                for (const auto& each : others) {
                    wire::ping ping;
                    ping.sequence = ++last_others_ping;
                    ping.from = each;
                    feed(datagram_received{each.peer, ping});
                }
            }
        }
    }

private:
    boot_time next_others_ping{};
    std::uint64_t last_others_ping = 0;
};

} // namespace

// CONFIG: review/9. The readers were replaced only once membership had declared
// them dead.
BOOST_FIXTURE_TEST_CASE(the_store_is_read_soon_after_all_readers_are_silent,
                        reader_fixture)
{
    run(seconds{10});
    BOOST_TEST(store_calls == 0U); // they work
    silent = true;
    run(milliseconds{2000});
    BOOST_TEST(store_calls >= 1U);
    silent = false;
    run(seconds{10});
    store_calls = 0;
    run(seconds{10});
    BOOST_TEST(store_calls == 0U); // they work again
}

// The store may turn the readers away and serve others.
BOOST_FIXTURE_TEST_CASE(the_store_is_read_if_no_reader_reaches_it,
                        reader_fixture)
{
    reaches_store = false;
    run(milliseconds{2000});
    BOOST_TEST(store_calls >= 1U);
}

BOOST_FIXTURE_TEST_CASE(probes_of_readers_are_bounded, reader_fixture)
{
    run(seconds{10});
    // Those of the failure detection, one a second, and as many here.
    BOOST_TEST(probed <= 21U);
}

} // namespace bulrushspring::gateway::test
