#include "tests/support/system_fleet.hpp"

#include <arpa/inet.h>
#include <boost/test/unit_test.hpp>
#include <sys/socket.h>

using namespace bulrushspring;
using manifest::service_kind;
using test::system_fleet;

namespace
{

sockaddr_in address_of(const endpoint& to)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    address.sin_addr.s_addr = htonl(to.address);
    return address;
}

// Sends bytes over TCP, then reads until the other side closes the connection.
void send_stream(const endpoint& to, const std::string& bytes)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    const auto address = address_of(to);
    BOOST_REQUIRE(connect(socket, reinterpret_cast<const sockaddr*>(&address),
                          sizeof address) == 0);
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    shutdown(socket, SHUT_WR);
    char answer[256];
    while (recv(socket, answer, sizeof answer, 0) > 0) {
    }
    close(socket);
}

void send_datagram_bytes(const endpoint& to, const std::string& bytes)
{
    const int socket = ::socket(AF_INET, SOCK_DGRAM, 0);
    const auto address = address_of(to);
    sendto(socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&address), sizeof address);
    close(socket);
}

} // namespace

BOOST_AUTO_TEST_CASE(
    answers_stay_correct_when_a_daemon_and_a_replica_are_killed)
{
    system_fleet fleet;
    fleet.start_daemons();
    const auto read = fleet.send_call("track", service_kind::read);
    BOOST_TEST((read.answer.status == answer_status::answered));
    const auto order =
        fleet.send_call("order", service_kind::request, "order-1");
    BOOST_TEST((order.answer.status == answer_status::answered));
    BOOST_TEST(fleet.count_executions("order-1") == 1);

    fleet.kill_daemon(1);
    fleet.leaf_process("index", 0).stop(SIGKILL);
    for (int i = 0; i < 20; ++i) {
        const auto answer = fleet.send_call("find").answer;
        BOOST_TEST((answer.status == answer_status::answered));
        BOOST_TEST(answer.shards == system_fleet::shards);
        BOOST_TEST(answer.missing.empty());
    }
}

BOOST_AUTO_TEST_CASE(a_lost_shard_is_reported_as_missing)
{
    system_fleet fleet;
    fleet.start_daemons();
    for (int replica = 0; replica < system_fleet::replicas; ++replica) {
        fleet.inject_leaf_faults("index", replica,
                                 "leaf=index-2-" + std::to_string(replica) +
                                     "&lose_shard=2");
    }
    const auto answer = fleet.send_call("find").answer;
    BOOST_REQUIRE(answer.missing.size() == 1);
    BOOST_TEST(answer.missing.front().shard == 2);
    BOOST_TEST((answer.status == answer_status::partial ||
                answer.status == answer_status::failed));
}

BOOST_AUTO_TEST_CASE(malformed_input_on_every_listener_is_counted_and_survived)
{
    system_fleet fleet;
    fleet.start_daemons();
    const auto before =
        fleet.status(1)["counters"]["input_rejected_total"].get<int>();
    const std::string malformed(300, '\xff');
    send_stream(fleet.caller_address(1), malformed + "\r\n\r\n");
    send_stream(fleet.caller_address(1),
                "POST /v1/query/find HTTP/1.1\r\nHost: a\r\n"
                "Bulrushspring-Request-Id: not allowed!\r\n"
                "Content-Length: 0\r\n\r\n");
    send_stream(fleet.caller_address(1),
                "POST /v1/query/find HTTP/1.1\r\nHost: a\r\n"
                "Content-Length: 99999999999\r\n\r\n");
    send_stream(fleet.operator_address(1), malformed + "\r\n\r\n");
    send_stream(fleet.peer_address(1), malformed);
    send_stream(fleet.peer_address(1), std::string("\0\0\0\x04hell", 8));
    send_datagram_bytes(fleet.peer_address(1), malformed);
    send_datagram_bytes(fleet.peer_address(1), std::string(1400, 'a'));
    send_datagram_bytes(fleet.peer_address(1), "");
    test::wait_until([&] {
        return fleet.status(1)["counters"]["input_rejected_total"].get<int>() >=
               before + 5;
    });
    BOOST_TEST(
        (fleet.send_call("find").answer.status == answer_status::answered));
}

BOOST_AUTO_TEST_CASE(signals_stop_gracefully_or_do_nothing)
{
    system_fleet fleet;
    fleet.start_daemons();
    fleet.daemon(2).send(SIGHUP);
    BOOST_TEST(fleet.served_version(2) == 1);
    fleet.daemon(2).send(SIGTERM);
    test::wait_until([&] { return fleet.status(2)["stopping"] == true; });
    fleet.daemon(2).send(SIGTERM);
    BOOST_TEST(fleet.stop_daemon(2) == 0);
    BOOST_TEST(fleet.daemon(3).stop(SIGINT) == 0);
}

BOOST_AUTO_TEST_CASE(
    a_repeated_request_is_answered_from_memory_and_not_run_again)
{
    system_fleet fleet;
    fleet.start_daemons();
    const auto addresses = test::json::parse(
        system_fleet::http_get(fleet.caller_address(1), "/v1/addresses"));
    client::http_request order;
    order.method = client::http_method::post;
    order.target = "/v1/request/order?key=k";
    order.headers = {{"Bulrushspring-Request-Id", "repeat-1"},
                     {"Bulrushspring-Grant", addresses["grant"]},
                     {"Bulrushspring-Sending", "1"}};
    order.body = "board";
    for (int caller_attempt = 1; caller_attempt <= 3; ++caller_attempt) {
        order.headers.back().value = std::to_string(caller_attempt);
        const auto answer =
            client::exchange(fleet.caller_address(1), order, seconds{5});
        BOOST_REQUIRE(answer.response.has_value());
        BOOST_TEST(answer.response.value().status == 200);
    }
    // Neither another entry nor a later incarnation of the same entry may run
    // the request.
    const auto elsewhere =
        client::exchange(fleet.caller_address(2), order, seconds{5});
    BOOST_TEST(elsewhere.response.value().status == 409);
    fleet.kill_daemon(1);
    fleet.start_daemon(1);
    fleet.wait_for_version(1);
    const auto restarted =
        client::exchange(fleet.caller_address(1), order, seconds{5});
    BOOST_TEST(restarted.response.value().status == 409);
    BOOST_TEST(client::header_of(restarted.response.value(),
                                 "Bulrushspring-Run") == "unknown");
    BOOST_TEST(fleet.count_executions("repeat-1") == 1);
}
