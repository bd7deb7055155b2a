#ifndef BULRUSHSPRING_TESTS_FAKES_FIXTURE_HPP
#define BULRUSHSPRING_TESTS_FAKES_FIXTURE_HPP

#include "fakes/leaf/host.hpp"
#include "fakes/platform/platform.hpp"
#include "libraries/client/http.hpp"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace bulrushspring::tests
{

inline const endpoint any_port{0x7F000001, 0};

// Far longer than any exchange takes, so a test that reaches it has failed.
inline constexpr seconds test_timeout{20};

// An event loop shared by the fakes and their clients.
struct fixture {
    client::event_base_pointer base = client::make_event_base();
    system_boot_clock time;
    std::vector<std::unique_ptr<client::http_connection>> connections;

    client::http_connection& connect(const endpoint& address)
    {
        connections.push_back(
            std::make_unique<client::http_connection>(*base, address));
        return *connections.back();
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto end = time.now() + test_timeout;
        while (!condition() && time.now() < end) {
            const timeval step{0, 20'000};
            event_base_loopexit(base.get(), &step);
            event_base_loop(base.get(), EVLOOP_ONCE);
        }
        BOOST_TEST_REQUIRE(condition());
    }
};

// An exchange in progress, whose outcome is stored when it ends.
struct pending_exchange {
    std::optional<client::exchange_result> outcome;

    bool ended() const { return outcome.has_value(); }
    bool answered() const { return ended() && outcome->response.has_value(); }
    const client::http_response& response() const
    {
        BOOST_TEST_REQUIRE(answered());
        return outcome->response.value();
    }
    int status() const { return response().status; }
    std::string header(std::string_view name) const
    {
        return std::string(client::header_of(response(), name));
    }
};

inline std::shared_ptr<pending_exchange>
start(client::http_connection& connection, const client::http_request& request,
      duration timeout = test_timeout)
{
    auto exchange = std::make_shared<pending_exchange>();
    client::start_exchange(connection, request, timeout,
                           [exchange](client::exchange_result outcome) {
                               exchange->outcome = std::move(outcome);
                           });
    return exchange;
}

inline std::shared_ptr<pending_exchange>
finish(fixture& test, std::shared_ptr<pending_exchange> exchange)
{
    test.run_until([&] { return exchange->ended(); });
    return exchange;
}

inline std::shared_ptr<pending_exchange>
send(fixture& test, client::http_connection& connection,
     const client::http_request& request)
{
    return finish(test, start(connection, request));
}

inline client::http_request get_request(std::string target)
{
    return {client::http_method::get, std::move(target), {}, ""};
}

// A leaf named leaf-0 that listens on any free port, in a host of its own.
struct leaf_fixture : fixture {
    std::unique_ptr<fakes::leaf_host> host;

    explicit leaf_fixture(fakes::leaf_options options)
    {
        options.name = "leaf-0";
        options.address = any_port;
        host = std::move(
            fakes::open_host(*base, time, {options}, any_port).value());
    }

    fakes::leaf& leaf() { return *host->leafs.front(); }
    const endpoint& address() { return leaf().options.address; }
    void set_faults(const fakes::query_values& changes)
    {
        BOOST_TEST_REQUIRE(fakes::apply_faults(leaf(), changes).has_value());
    }
};

inline fakes::leaf_options fast_leaf_options()
{
    fakes::leaf_options options;
    options.current_snapshot = 1;
    options.holdings = {{1, {0, 1}}};
    options.work.distribution = fakes::time_distribution::constant;
    options.work.mean = milliseconds{1};
    return options;
}

struct work_parameters {
    std::string id = "r1";
    std::string attempt = "e-1-1";
    std::string snapshot = "1";
    std::string shard = "0";
    std::string key;
    std::string deadline_ms = "10000";
    std::string idempotent = "yes";
};

inline client::http_request work_request(const work_parameters& parameters)
{
    client::http_request request;
    request.method = client::http_method::post;
    request.target = "/v1/work/search";
    request.headers = {{"Bulrushspring-Request-Id", parameters.id},
                       {"Bulrushspring-Attempt", parameters.attempt},
                       {"Bulrushspring-Snapshot", parameters.snapshot},
                       {"Bulrushspring-Shard", parameters.shard},
                       {"Bulrushspring-Deadline-Ms", parameters.deadline_ms},
                       {"Bulrushspring-Idempotent", parameters.idempotent}};
    if (!parameters.key.empty()) {
        request.headers.push_back({"Bulrushspring-Key", parameters.key});
    }
    request.body = "maternity leave";
    return request;
}

} // namespace bulrushspring::tests

#endif
