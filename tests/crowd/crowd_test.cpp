#include "tests/crowd/crowd.hpp"
#include "tests/soak/served_site.hpp"
#include "tests/support/system_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::test;

// Crowds of callers took a daemon beyond the memory of its VM, so that it was
// ended. Checks nothing that depends on the machine's speed.
namespace
{

constexpr std::uint64_t platformd_mb = 24;
constexpr std::uint64_t daemon_mb = 32;
constexpr std::size_t spare_descriptors = 64; // to leafs and other daemons
// A crowd has sent what it can if nothing was taken for this many turns of 5
// ms.
constexpr int idle_turns = 100;
constexpr int max_turns = 2000;
#if defined(__SANITIZE_ADDRESS__)
constexpr bool checks_memory = false; // the sanitizer multiplies it
#else
constexpr bool checks_memory = true;
#endif

// Runs a crowd of each kind against a process. `turn` passes 5 ms, and
// `is_served` sends one ordinary request and returns whether it was answered.
template <typename Head, typename Turn, typename Served>
void check_crowds(pid_t process, const endpoint& address, std::uint64_t mb,
                  const Head& head, const Turn& turn, const Served& is_served)
{
    BOOST_REQUIRE(is_served());
    const auto most_idle = open_descriptors(process) + spare_descriptors;
    for (const auto& kind : crowd_kinds) {
        BOOST_TEST_CONTEXT(kind.what)
        {
            crowd callers(kind, address, head);
            std::size_t most_open = 0;
            int idle = 0;
            for (int i = 0; i < max_turns && idle < idle_turns; ++i) {
                idle = callers.turn() > 0 ? 0 : idle + 1;
                turn();
                most_open = std::max(most_open, open_descriptors(process));
            }
            BOOST_TEST_MESSAGE(kind.what << ": " << status_kb(process, "VmHWM")
                                         << " kB, " << most_open
                                         << " descriptors");
            BOOST_REQUIRE(status_kb(process, "VmRSS") > 0U);
            if (checks_memory) {
                BOOST_TEST(status_kb(process, "VmHWM") < mb * 1024);
            }
            BOOST_TEST(most_open <= most_idle + crowd_size);
            BOOST_TEST(is_served());
        }
        // The callers have left.
        for (int i = 0; i < max_turns && open_descriptors(process) > most_idle;
             ++i) {
            turn();
        }
        BOOST_TEST(open_descriptors(process) <= most_idle);
    }
}

// A daemon of the users' platform, with the store and the leafs.
struct site_fixture : served_site {
    site_fixture() : served_site("crowd", 1, platformd_mb, "GET /s/ordinary") {}
};

} // namespace

BOOST_FIXTURE_TEST_CASE(crowds_do_not_exhaust_the_memory_of_platformd,
                        site_fixture)
{
    check_crowds(
        tried().process, address(), platformd_mb,
        [this](std::size_t) { return head("POST /u/crowd"); },
        [this] { turn(); }, [this] { return is_served(); });
}

BOOST_AUTO_TEST_CASE(crowds_do_not_exhaust_the_memory_of_bulrushspringd)
{
    system_fleet fleet("127.",
                       "memory_mb = " + std::to_string(daemon_mb) + "\n");
    fleet.start_daemons();
    const auto head = [](std::size_t number) {
        return "POST /v1/request/order?key=k HTTP/1.1\r\nHost: h\r\n"
               "Bulrushspring-Request-Id: crowd-" +
               std::to_string(number) + "\r\n";
    };
    int requests = 0;
    const auto is_served = [&] {
        client::http_request request;
        request.method = client::http_method::post;
        request.target = "/v1/query/find";
        request.headers = {{"Bulrushspring-Request-Id",
                            "ordinary-" + std::to_string(++requests)}};
        const auto exchanged =
            client::exchange(fleet.caller_address(1), request, seconds{10});
        return exchanged.response && exchanged.response.value().status == 200;
    };
    check_crowds(
        fleet.daemon(1).id(), fleet.caller_address(1), daemon_mb, head,
        [] { std::this_thread::sleep_for(milliseconds{5}); }, is_served);
}
