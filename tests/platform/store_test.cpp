#include "platform/store_client.hpp"
#include "tests/http/loop.hpp"

#include <boost/test/unit_test.hpp>
#include <netinet/in.h>

using namespace bulrushspring;

namespace
{

// Takes connections and never answers.
struct silent_store {
    int descriptor = socket(AF_INET, SOCK_STREAM, 0);
    endpoint address{INADDR_LOOPBACK, 0};

    silent_store()
    {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        auto* plain = reinterpret_cast<sockaddr*>(&name);
        socklen_t size = sizeof name;
        BOOST_REQUIRE(bind(descriptor, plain, size) == 0);
        BOOST_REQUIRE(listen(descriptor, 4) == 0);
        BOOST_REQUIRE(getsockname(descriptor, plain, &size) == 0);
        address.port = ntohs(name.sin_port);
    }
    silent_store(const silent_store&) = delete;
    silent_store& operator=(const silent_store&) = delete;
    ~silent_store() { close(descriptor); }
};

} // namespace

// A store that swallowed a waiting call is found out a second after the wait.
BOOST_AUTO_TEST_CASE(a_swallowed_call_ends_soon_after_its_wait)
{
    const silent_store store;
    const auto base = client::make_event_base();
    std::optional<topology::store_failed> failed;
    const auto call = platform::make_store(store.address)(
        base.get(), [&](gateway::any_event what) {
            failed = std::get<topology::store_failed>(what);
        });
    const machine_clock clock;
    const auto began = clock.now();
    call(topology::watch_changes{1, milliseconds{200}});
    BOOST_REQUIRE(http_test::turn_until(base.get(), [&] { return !!failed; }));
    BOOST_TEST(!failed->history_gone);
    BOOST_TEST((clock.now() - began >= milliseconds{200}));
    BOOST_TEST((clock.now() - began < milliseconds{2000}));
}
