#include "base/random.hpp"
#include "libraries/shell/peer_streams.hpp"
#include "libraries/wire/frame.hpp"
#include "tests/http/loop.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::http_test;

namespace
{

// An address with a port that is free.
endpoint free_address()
{
    return raw_listener().address();
}

// A reply with records of this size in total, which compression doesn't shrink
// much.
wire::peer_reply large_reply(std::size_t bytes)
{
    wire::record_changes_reply reply;
    random_source random(1);
    while (bytes > 0) {
        wire::published_record record;
        record.key = "leaf/" + std::to_string(reply.records.size());
        record.content.resize(std::min(bytes, wire::max_document_bytes));
        std::generate(record.content.begin(), record.content.end(),
                      [&] { return static_cast<char>(random()); });
        bytes -= record.content.size();
        reply.records.push_back(std::move(record));
    }
    return reply;
}

struct streams_fixture {
    shell::base_handle base = client::make_event_base();
    metrics::registry metrics;
    memory::account account;
    std::vector<bulrushspring::event> posted;

    std::unique_ptr<shell::peer_streams> listen(const endpoint& address)
    {
        const shell::sink out{[this](bulrushspring::event what) {
                                  posted.push_back(std::move(what));
                              },
                              [](const error&) {}, &metrics, &account};
        return shell::peer_streams::listen(base.get(), address, out).value();
    }

    bool until(const std::function<bool()>& holds)
    {
        return run_until(base.get(), holds);
    }
};

// A peer that sends its reply in pieces, one each 50 ms.
class slow_peer
{
public:
    explicit slow_peer(std::string reply) : reply_(std::move(reply)) {}

    endpoint address() const { return listener_.address(); }

    void send_next_piece()
    {
        constexpr milliseconds interval{50};
        constexpr std::size_t piece = 16UL * 1024;
        if (!requester_) {
            const int accepted = listener_.accept();
            if (accepted < 0) {
                return;
            }
            requester_ = std::make_unique<raw_socket>(accepted);
        }
        const auto now = clock_.now();
        if (now >= next_at_) {
            sent_ += requester_->send(reply_.substr(sent_, piece));
            next_at_ = now + interval;
        }
    }

private:
    system_boot_clock clock_;
    raw_listener listener_;
    std::unique_ptr<raw_socket> requester_;
    std::string reply_;
    std::size_t sent_ = 0;
    boot_time next_at_{};
};

} // namespace

// CONFIG: a table that a busy link delivered steadily, but not within the
// timeout, was thrown away and requested again from its first byte.
BOOST_FIXTURE_TEST_CASE(a_reply_that_keeps_arriving_does_not_time_out,
                        streams_fixture)
{
    constexpr std::size_t size = 320UL * 1024; // 20 pieces, 1 s
    slow_peer peer(wire::encode(large_reply(size)).value());
    const auto streams = listen(free_address());
    streams->carry_out(send_peer_request{exchange_id{1}, peer.address(),
                                         wire::record_changes_request{},
                                         milliseconds{300}});
    BOOST_TEST(until([&] {
        peer.send_next_piece();
        return !posted.empty();
    }));
    const auto* received = std::get_if<peer_reply_received>(&posted.front());
    BOOST_REQUIRE(received != nullptr);
    BOOST_TEST(received->reply.has_value());
}

// A peer that has stopped sending is given up all the same.
BOOST_FIXTURE_TEST_CASE(a_reply_that_stops_arriving_times_out, streams_fixture)
{
    const raw_listener silent;
    const auto streams = listen(free_address());
    streams->carry_out(send_peer_request{exchange_id{1}, silent.address(),
                                         wire::record_changes_request{},
                                         milliseconds{300}});
    BOOST_TEST(until([&] { return !posted.empty(); }));
    const auto* received = std::get_if<peer_reply_received>(&posted.front());
    BOOST_REQUIRE(received != nullptr);
    BOOST_REQUIRE(!received->reply.has_value());
    BOOST_TEST(received->reply.error().code ==
               make_error_code(errc::timed_out));
}

// CONFIG: a VM sent large replies to all peers that asked at once, so that none
// was complete in time. It held all of them in memory as well.
BOOST_FIXTURE_TEST_CASE(large_replies_are_sent_to_few_peers_at_a_time,
                        streams_fixture)
{
    constexpr std::size_t requesters = 20;
    constexpr std::size_t reply_bytes = 3UL * 1024 * 1024;
    const auto address = free_address();
    const auto streams = listen(address);
    const auto reply = large_reply(reply_bytes);
    const auto request =
        wire::encode(wire::peer_request(wire::record_changes_request{}));
    std::vector<std::unique_ptr<raw_socket>> peers;
    std::size_t answered = 0;
    const auto answer_requests = [&] {
        for (; answered < posted.size(); ++answered) {
            streams->carry_out(reply_to_peer{
                std::get<peer_request_received>(posted[answered]).token,
                reply});
        }
        return answered;
    };
    for (std::size_t i = 0; i < requesters; ++i) {
        peers.push_back(std::make_unique<raw_socket>(connect_to(address)));
        peers.back()->send(request.value());
    }
    BOOST_REQUIRE(until([&] { return answer_requests() == requesters; }));
    BOOST_TEST(account.reserved <= 2 * reply_bytes);

    // Those that are refused learn it at once; the others get their reply.
    const auto receive_all = [&] {
        return std::count_if(peers.begin(), peers.end(), [](const auto& each) {
            each->receive();
            return !each->ended;
        });
    };
    BOOST_TEST(until([&] { return receive_all() == 0; }));
    const auto served =
        std::count_if(peers.begin(), peers.end(), [](const auto& each) {
            return each->received.size() > reply_bytes;
        });
    const auto refused =
        std::count_if(peers.begin(), peers.end(),
                      [](const auto& each) { return each->received.empty(); });
    BOOST_TEST(served >= 1);
    BOOST_TEST(static_cast<std::size_t>(served + refused) == requesters);

    // The next one is served again.
    raw_socket next(connect_to(address));
    next.send(request.value());
    BOOST_REQUIRE(until([&] { return answer_requests() == requesters + 1; }));
    BOOST_TEST(until([&] {
        next.receive();
        return next.received.size() > reply_bytes;
    }));
}

// A peer that does not read its reply, and sends more than its request without
// end, was read until the exchange timed out.
BOOST_FIXTURE_TEST_CASE(more_than_a_request_is_not_read, streams_fixture)
{
    constexpr std::size_t reply_bytes = 3UL * 1024 * 1024;
    constexpr std::size_t offered = 16UL * 1024 * 1024;
    constexpr std::size_t kernel_buffers = 1024UL * 1024;
    account.limits.bytes = 64UL * 1024 * 1024; // limits receive buffers
    const auto address = free_address();
    const auto streams = listen(address);
    const auto request =
        wire::encode(wire::peer_request(wire::record_changes_request{}));
    // The kernel holds little for either side.
    const int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    const int buffer_size = 4096;
    for (const int option : {SO_RCVBUF, SO_SNDBUF}) {
        setsockopt(descriptor, SOL_SOCKET, option, &buffer_size,
                   sizeof buffer_size);
    }
    const auto to = shell::to_socket_address(address);
    BOOST_REQUIRE_EQUAL(
        connect(descriptor, reinterpret_cast<const sockaddr*>(&to), sizeof to),
        0);
    raw_socket peer(descriptor);
    peer.send(request.value());
    BOOST_REQUIRE(until([&] { return !posted.empty(); }));
    streams->carry_out(
        reply_to_peer{std::get<peer_request_received>(posted.front()).token,
                      large_reply(reply_bytes)});
    const std::string block(65536, 'p');
    std::size_t sent = 0;
    int idle = 0;
    constexpr int max_idle = 50;
    until([&] {
        const auto taken = sent < offered ? peer.send(block) : 0;
        sent += taken;
        idle = taken > 0 ? 0 : idle + 1;
        return idle > max_idle;
    });
    BOOST_TEST(sent < kernel_buffers);
    BOOST_TEST(posted.size() == 1U);
}
