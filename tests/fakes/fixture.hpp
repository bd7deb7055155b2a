#ifndef BULRUSHSPRING_TESTS_FAKES_BED_HPP
#define BULRUSHSPRING_TESTS_FAKES_BED_HPP

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

// Far above what an exchange takes; a test that waits this long has failed.
inline constexpr seconds patience{20};

// An event loop that the stand-ins and their clients share.
struct bed {
    client::event_base_pointer base = client::make_event_base();
    machine_clock time;
    std::vector<std::unique_ptr<client::http_connection>> connections;

    client::http_connection& connect(const endpoint& to)
    {
        connections.push_back(
            std::make_unique<client::http_connection>(*base, to));
        return *connections.back();
    }

    template <typename Condition>
    void run_until(Condition condition)
    {
        const auto end = time.now() + patience;
        while (!condition() && time.now() < end) {
            const timeval step{0, 20'000};
            event_base_loopexit(base.get(), &step);
            event_base_loop(base.get(), EVLOOP_ONCE);
        }
        BOOST_TEST_REQUIRE(condition());
    }
};

// An exchange that was started and whose end is awaited later.
struct started {
    std::optional<client::exchange_result> end;

    bool ended() const { return end.has_value(); }
    bool answered() const { return ended() && end->response.has_value(); }
    const client::http_response& response() const
    {
        BOOST_TEST_REQUIRE(answered());
        return end->response.value();
    }
    int status() const { return response().status; }
    std::string header(std::string_view name) const
    {
        return std::string(client::header_of(response(), name));
    }
};

inline std::shared_ptr<started> start(client::http_connection& over,
                                      const client::http_request& request,
                                      duration limit = patience)
{
    auto waiting = std::make_shared<started>();
    client::start_exchange(over, request, limit,
                           [waiting](client::exchange_result end) {
                               waiting->end = std::move(end);
                           });
    return waiting;
}

inline std::shared_ptr<started> finish(bed& on, std::shared_ptr<started> what)
{
    on.run_until([&] { return what->ended(); });
    return what;
}

inline std::shared_ptr<started> send(bed& on, client::http_connection& over,
                                     const client::http_request& request)
{
    return finish(on, start(over, request));
}

inline client::http_request read_request(std::string target)
{
    return {client::http_method::read, std::move(target), {}, ""};
}

// Leafs with names leaf-0, leaf-1, ...; each holds all shards given.
struct leaf_bed : bed {
    std::unique_ptr<fakes::leaf_host> host;

    explicit leaf_bed(fakes::leaf_options options)
    {
        options.name = "leaf-0";
        options.address = any_port;
        host = std::move(
            fakes::open_host(*base, time, {options}, any_port).value());
    }

    fakes::leaf& leaf() { return *host->leafs.front(); }
    const endpoint& address() { return leaf().options.address; }
    void fault(const fakes::query_values& changes)
    {
        BOOST_TEST_REQUIRE(fakes::apply_faults(leaf(), changes).has_value());
    }
};

inline fakes::leaf_options quick_leaf()
{
    fakes::leaf_options options;
    options.current_snapshot = 1;
    options.holdings = {{1, {0, 1}}};
    options.work.shape = fakes::time_shape::constant;
    options.work.mean = milliseconds{1};
    return options;
}

struct work_choice {
    std::string id = "r1";
    std::string attempt = "e-1-1";
    std::string snapshot = "1";
    std::string shard = "0";
    std::string key;
    std::string deadline_ms = "10000";
    std::string idempotent = "yes";
};

inline client::http_request work_request(const work_choice& choice)
{
    client::http_request request;
    request.method = client::http_method::post;
    request.target = "/v1/work/search";
    request.headers = {{"Bulrushspring-Request-Id", choice.id},
                       {"Bulrushspring-Attempt", choice.attempt},
                       {"Bulrushspring-Snapshot", choice.snapshot},
                       {"Bulrushspring-Shard", choice.shard},
                       {"Bulrushspring-Deadline-Ms", choice.deadline_ms},
                       {"Bulrushspring-Idempotent", choice.idempotent}};
    if (!choice.key.empty()) {
        request.headers.push_back({"Bulrushspring-Key", choice.key});
    }
    request.body = "maternity leave";
    return request;
}

} // namespace bulrushspring::tests

#endif
