#include "libraries/wire/frame.hpp"
#include "platform/names.hpp"
#include "tests/endless/endless_server.hpp"
#include "tests/http/loop.hpp"
#include "tests/soak/served_site.hpp"
#include "tests/support/system_fleet.hpp"

#include <boost/test/unit_test.hpp>

using namespace bulrushspring;
using namespace bulrushspring::test;

// A leaf, the configuration service or another daemon sent bytes without end;
// the daemon kept them until it was ended for its memory, and with it the
// requests of other callers.
namespace
{

constexpr std::uint64_t platformd_mb = 24;
constexpr std::uint64_t daemon_mb = 32;
constexpr std::size_t callers = 16;
constexpr milliseconds span{1000};           // of each kind of bytes
constexpr seconds settling_time{10};         // after the last of them
constexpr std::uint64_t max_kept_kb = 10240; // above the start, after that
#if defined(__SANITIZE_ADDRESS__)
constexpr bool checks_memory = false; // the sanitizer multiplies it
#else
constexpr bool checks_memory = true;
#endif

std::vector<endless_answer> all_kinds()
{
    auto all = endless_answers;
    all.insert(all.end(), overlong_answers.begin(), overlong_answers.end());
    return all;
}

// The status of an answer, and one of the ways in which it can end.
struct stated_answer {
    std::string status;
    std::string ending;
};

std::vector<stated_answer> invalid_answers()
{
    std::vector<stated_answer> all;
    for (const auto* status : {"000", "099", "600"}) {
        for (const auto* ending :
             {"Content-Length: 2\r\n\r\nok",
              "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\n",
              "Connection: close\r\n\r\nok"}) {
            all.push_back({status, ending});
        }
    }
    return all;
}

const stated_answer proper_answer{"200", "Content-Length: 2\r\n\r\nok"};
constexpr seconds recovery_time{10}; // until its leafs are used again
// Far less than the callers would wait.
constexpr milliseconds at_once{1000};

// The kinds in `parts` parts, of which this is one.
std::vector<endless_answer> part_of_kinds(std::size_t part, std::size_t parts)
{
    std::vector<endless_answer> some;
    const auto all = all_kinds();
    for (auto i = part; i < all.size(); i += parts) {
        some.push_back(all[i]);
    }
    return some;
}

bool counts_unusable_answers(const std::string& metrics)
{
    const std::string name = "\nbulrushspring_leaf_answers_unusable_total ";
    const auto found = metrics.find(name);
    return found != std::string::npos && metrics[found + name.size()] != '0';
}

// Checks the memory of a process that is sent bytes without end.
class memory_check
{
public:
    memory_check(pid_t process, std::uint64_t mb)
        : process_(process), limit_kb_(mb * 1024),
          start_kb_(status_kb(process, "VmRSS"))
    {
    }

    void check_peak(const char* what) const
    {
        const auto peak = status_kb(process_, "VmHWM");
        BOOST_TEST_MESSAGE(what << ": peak " << peak << " kB, at the start "
                                << start_kb_);
        BOOST_REQUIRE_MESSAGE(status_kb(process_, "VmRSS") > 0U,
                              "the daemon has ended");
        if (checks_memory) {
            BOOST_TEST(peak < limit_kb_);
        }
    }

    // Once nothing more is sent.
    void check_return() const
    {
        const system_boot_clock clock;
        const auto until = clock.now() + settling_time;
        const auto kept = [&] {
            return status_kb(process_, "VmRSS") > start_kb_ + max_kept_kb;
        };
        while (kept() && clock.now() < until) {
            std::this_thread::sleep_for(milliseconds{50});
        }
        BOOST_TEST_MESSAGE("afterwards " << status_kb(process_, "VmRSS")
                                         << " kB");
        BOOST_TEST((!checks_memory || !kept()));
    }

private:
    pid_t process_;
    std::uint64_t limit_kb_;
    std::uint64_t start_kb_;
};

// Callers in threads of their own that repeat a call for a time.
template <typename Call>
void call_repeatedly(const Call& call)
{
    const system_boot_clock clock;
    const auto until = clock.now() + span;
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < callers; ++i) {
        threads.emplace_back([&] {
            while (clock.now() < until) {
                call();
            }
        });
    }
    for (auto& each : threads) {
        each.join();
    }
}

// Connections to a daemon's port for other daemons: half of them send a request
// and more without end, the others a frame without its end. Nothing is read.
void flood_peers_port(const endpoint& address)
{
    constexpr std::size_t connections = 64;
    const auto request =
        wire::encode(wire::peer_request(wire::members_request{})).value();
    const auto begun = std::string("\x00\x3F\xFF\xFF", 4);
    const std::string block(65536, 'p');
    std::vector<std::unique_ptr<http_test::raw_socket>> peers;
    for (std::size_t i = 0; i < connections; ++i) {
        peers.push_back(std::make_unique<http_test::raw_socket>(
            http_test::connect_to(address)));
        peers.back()->send(i % 2 == 0 ? request : begun);
    }
    const system_boot_clock clock;
    const auto until = clock.now() + 3 * span;
    while (clock.now() < until) {
        for (auto& each : peers) {
            each->send(block);
        }
        std::this_thread::sleep_for(milliseconds{1});
    }
}

// A fleet of which one daemon is tried: leafs of two services of its own send
// without end.
struct fleet_fixture {
    static constexpr int tried = 1;
    system_fleet fleet{"127.",
                       "memory_mb = " + std::to_string(daemon_mb) + "\n"};
    std::vector<std::unique_ptr<endless_server>> leafs;
    std::atomic<bool> proper{false};     // whether the leafs answer properly
    std::optional<stated_answer> stated; // else they answer like this
    std::mutex mutex;
    std::map<std::string, int> arrivals; // by request id
    std::atomic<int> requests{0};

    std::string answer_as_leaf(const std::string& request)
    {
        if (request.starts_with("GET /v1/probe") ||
            request.starts_with("DELETE ")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        }
        const auto repeated = [&](const std::string& name) {
            return name + ": " + header_in(request, name) + "\r\n";
        };
        const std::lock_guard lock(mutex);
        ++arrivals[header_in(request, "Bulrushspring-Request-Id")];
        if (!proper && !stated) {
            return "";
        }
        const auto status = proper ? "200" : stated->status;
        const auto ending =
            proper ? "Content-Length: 2\r\n\r\nok" : stated->ending;
        return "HTTP/1.1 " + status + " OK\r\n" +
               repeated("Bulrushspring-Request-Id") +
               repeated("Bulrushspring-Attempt") +
               repeated("Bulrushspring-Shard") +
               "Bulrushspring-Snapshot: 1\r\n"
               "Bulrushspring-Run: ran\r\n" +
               ending;
    }

    void answer_with(const stated_answer& kind)
    {
        const std::lock_guard lock(mutex);
        stated = kind;
    }

    void start_endless_leafs()
    {
        std::string pool = "[pool]\nserve = 1\nslots = 16\nconnections = "
                           "96\n[snapshot 1]\nshards = 1\n";
        for (std::uint16_t i = 0; i < 2; ++i) {
            endpoint address = fleet.caller_address(tried);
            address.port = static_cast<std::uint16_t>(8300 + i);
            leafs.push_back(std::make_unique<endless_server>(
                address, "Bulrushspring-Attempt", [this](const auto& request) {
                    return answer_as_leaf(request);
                }));
            BOOST_REQUIRE(leafs.back()->ready());
            pool += "[leaf noise-" + std::to_string(i) +
                    "]\naddress = " + to_string(address) +
                    "\ndata_centre = dc-1\nstate = live\nholds = 1/0\n";
        }
        fleet.publish(2, "pool.noise", pool);
        fleet.publish(3, "service.noise",
                      "[service]\nkind = read\npool = noise\n"
                      "deadline_ms = 3000\nhedge_budget = 0.05\n");
        fleet.publish(4, "service.noisy-order",
                      "[service]\nkind = request\npool = noise\n"
                      "deadline_ms = 3000\n");
        fleet.wait_for_version(4);
    }

    int status_of(const std::string& target)
    {
        client::http_request request;
        request.method = client::http_method::post;
        request.target = target;
        request.headers = {
            {"Bulrushspring-Request-Id", "r" + std::to_string(++requests)}};
        const auto answer =
            client::exchange(fleet.caller_address(tried), request, seconds{10});
        return answer.response ? answer.response.value().status : 0;
    }
    bool is_served() { return status_of("/v1/read/track?key=k") == 200; }
};

// Two daemons of the users' platform, of which the second is tried: the leafs
// of one service send without end.
struct site_fixture : served_site {
    std::vector<std::unique_ptr<endless_server>> leafs;
    std::mutex mutex;
    std::optional<stated_answer> stated; // what the leafs answer, if set

    site_fixture() : served_site("endless", 2, platformd_mb, "GET /q/ordinary")
    {
    }

    std::string answer_as_leaf(const std::string& request)
    {
        if (request.starts_with("GET /health ")) {
            return "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
        }
        const std::lock_guard lock(mutex);
        return !stated ? ""
                       : "HTTP/1.1 " + stated->status +
                             " OK\r\nServer-Seal: s\r\nAttempt-Id: " +
                             header_in(request, "Attempt-Id") + "\r\n" +
                             stated->ending;
    }

    void answer_with(const stated_answer& kind)
    {
        const std::lock_guard lock(mutex);
        stated = kind;
    }

    // The status line of the answer to a request; empty if there is none.
    std::string answer_to(const std::string& line)
    {
        http_test::raw_socket caller(http_test::connect_to(address()));
        caller.send(head(line) + "\r\n");
        wait_while(
            [&] {
                caller.receive();
                return caller.received.empty() && !caller.ended;
            },
            seconds{5});
        return caller.received.substr(0, caller.received.find("\r\n"));
    }

    // Replaces the leafs of the service that does not gather.
    void start_endless_leafs()
    {
        for (auto& each : site.leafs) {
            if (each.server->options().service != "single") {
                continue;
            }
            endpoint address = each.address;
            address.port = 8300;
            leafs.push_back(std::make_unique<endless_server>(
                address, "Attempt-Id", [this](const std::string& request) {
                    return answer_as_leaf(request);
                }));
            BOOST_REQUIRE(leafs.back()->ready());
            auto entry = json::parse(each.server->published(false));
            entry["address"] = to_string(address);
            site.remove(each);
            site.platform_store.put(std::string(platform::names::leaf_prefix) +
                                        "noise-" + std::to_string(leafs.size()),
                                    entry.dump());
        }
        wait_while([] { return true; }, seconds{3});
    }

    std::string metrics()
    {
        http_test::raw_socket reader(
            http_test::connect_to(site.metrics_address(tried())));
        reader.send("GET /metrics HTTP/1.1\r\nHost: h\r\n"
                    "Connection: close\r\n\r\n");
        wait_while(
            [&] {
                reader.receive();
                return !reader.ended;
            },
            seconds{5});
        return reader.received;
    }

    // Callers that repeat a request for a time.
    void call_repeatedly(const std::string& line)
    {
        std::vector<std::unique_ptr<http_test::raw_socket>> open(callers);
        wait_while(
            [&] {
                for (auto& each : open) {
                    if (each) {
                        each->receive();
                    }
                    if (!each || each->ended || !each->received.empty()) {
                        each = std::make_unique<http_test::raw_socket>(
                            http_test::connect_to(address()));
                        each->send(head(line) + "\r\n");
                    }
                }
                return true;
            },
            span);
    }
};

} // namespace

BOOST_FIXTURE_TEST_CASE(endless_leafs_do_not_exhaust_platformd, site_fixture)
{
    start_endless_leafs();
    const memory_check memory(tried().process, platformd_mb);
    for (const auto& kind : all_kinds()) {
        for (auto& each : leafs) {
            each->send({kind});
        }
        call_repeatedly("GET /s/noise");
        memory.check_peak(kind.what);
        BOOST_TEST(is_served());
    }
    for (auto& each : leafs) {
        BOOST_TEST(each->begun() > 0U);
    }
    BOOST_TEST(counts_unusable_answers(metrics()));
    memory.check_return();
}

BOOST_FIXTURE_TEST_CASE(an_endless_store_does_not_exhaust_platformd,
                        site_fixture)
{
    endpoint store_address = address();
    store_address.port = 8310;
    endless_server store(store_address, "Id", nullptr);
    BOOST_REQUIRE(store.ready());
    store.send(all_kinds());
    site.signal(tried(), SIGKILL);
    wait_while(
        [&] {
            site.reap();
            return tried().process > 0;
        },
        seconds{5});
    const auto file =
        make_site_options("endless").folder + "/" + tried().name + ".conf";
    auto settings = read_text(file);
    const std::string key = "platform.address=";
    const auto value = settings.find(key) + key.size();
    settings.replace(value, settings.find('\n', value) - value,
                     to_string(store_address));
    write_text(file, settings);
    site.start(tried());
    wait_while([&] { return !is_served(); }, seconds{30});
    const memory_check memory(tried().process, platformd_mb);
    wait_while([&] { return store.begun() <= all_kinds().size(); },
               seconds{60});
    BOOST_TEST(store.begun() > all_kinds().size());
    memory.check_peak("store");
    BOOST_TEST(is_served());
    store.send({});
    memory.check_return();
}

BOOST_FIXTURE_TEST_CASE(endless_peers_do_not_exhaust_platformd, site_fixture)
{
    const memory_check memory(tried().process, platformd_mb);
    flood_peers_port(site.peers_address(tried()));
    memory.check_peak("peers");
    BOOST_TEST(is_served());
    memory.check_return();
}

BOOST_FIXTURE_TEST_CASE(endless_leafs_do_not_exhaust_bulrushspringd,
                        fleet_fixture)
{
    fleet.start_daemons();
    start_endless_leafs();
    BOOST_REQUIRE(is_served());
    const memory_check memory(fleet.daemon(tried).id(), daemon_mb);
    for (const auto& kind : all_kinds()) {
        for (auto& each : leafs) {
            each->send({kind});
        }
        call_repeatedly([&] { status_of("/v1/read/noise?key=k"); });
        memory.check_peak(kind.what);
        BOOST_TEST(is_served());
    }
    // The order may have run: it is neither repeated nor awaited until its
    // deadline.
    const auto& order = fleet.send_call(
        "noisy-order", manifest::service_kind::request, "noisy-order-1");
    BOOST_TEST((order.answer.run == execution::unknown));
    BOOST_TEST(order.answer.reason == "connection_lost");
    {
        const std::lock_guard lock(mutex);
        BOOST_TEST(arrivals["noisy-order-1"] == 1);
    }
    for (auto& each : leafs) {
        BOOST_TEST(each->begun() > 0U);
    }
    const auto log = fleet.read_log(tried);
    BOOST_TEST((log.find("answer_unusable leaf=noise-") != std::string::npos));
    BOOST_TEST(counts_unusable_answers(
        fleet.http_get(fleet.operator_address(tried), "/metrics")));
    memory.check_return();
    // Both leafs are found again.
    proper = true;
    wait_until([&] { return status_of("/v1/read/noise?key=k") == 200; });
}

// A daemon waits longer after each answer that it can't use, so that each of
// several gets some of the kinds.
BOOST_FIXTURE_TEST_CASE(an_endless_platform_does_not_exhaust_bulrushspringd,
                        fleet_fixture)
{
    constexpr int several = 4;
    fleet.start_daemons();
    std::vector<std::unique_ptr<endless_server>> platforms;
    for (int number = 1; number <= several; ++number) {
        endpoint address = fleet.caller_address(number);
        address.port = static_cast<std::uint16_t>(8310 + number);
        platforms.push_back(
            std::make_unique<endless_server>(address, "Id", nullptr));
        BOOST_REQUIRE(platforms.back()->ready());
        platforms.back()->send(
            part_of_kinds(static_cast<std::size_t>(number - 1), several));
        fleet.kill_daemon(number);
        fleet.use_platform(number, address);
        fleet.start_daemon(number);
    }
    fleet.wait_for_version(1); // from the other daemons
    std::vector<memory_check> checks;
    for (int number = 1; number <= several; ++number) {
        checks.emplace_back(fleet.daemon(number).id(), daemon_mb);
    }
    const auto kinds_of_each = all_kinds().size() / several;
    for (const auto& each : platforms) {
        wait_until([&] { return each->begun() > kinds_of_each; });
    }
    for (const auto& each : checks) {
        each.check_peak("platform");
    }
    BOOST_TEST(is_served());
    for (const auto& each : platforms) {
        each->send({});
    }
    for (const auto& each : checks) {
        each.check_return();
    }
}

BOOST_FIXTURE_TEST_CASE(endless_peers_do_not_exhaust_bulrushspringd,
                        fleet_fixture)
{
    fleet.start_daemons();
    const memory_check memory(fleet.daemon(tried).id(), daemon_mb);
    flood_peers_port(fleet.peer_address(tried));
    memory.check_peak("peers");
    BOOST_TEST(is_served());
    memory.check_return();
}

// MIXED: a leaf's answer of status 000 reached the caller as an answer, or let
// it wait until its time was up.
BOOST_FIXTURE_TEST_CASE(invalid_statuses_fail_at_once_at_platformd,
                        site_fixture)
{
    start_endless_leafs();
    const system_boot_clock clock;
    for (const auto& kind : invalid_answers()) {
        for (const auto* line : {"GET /s/odd", "GET /u/odd"}) {
            answer_with(proper_answer);
            wait_while(
                [&] { return answer_to("GET /s/proper") != "HTTP/1.1 200 OK"; },
                recovery_time);
            answer_with(kind);
            const auto sent_at = clock.now();
            const auto answer = answer_to(line);
            const auto waited = clock.now() - sent_at;
            BOOST_TEST_CONTEXT(line << " " << kind.status << " " << kind.ending
                                    << ": " << answer << " after "
                                    << to_milliseconds(waited) << " ms")
            {
                BOOST_TEST(answer.starts_with("HTTP/1.1 502 "));
                BOOST_TEST((waited < at_once));
            }
        }
    }
    BOOST_TEST(counts_unusable_answers(metrics()));
    BOOST_TEST(is_served());
}

BOOST_FIXTURE_TEST_CASE(invalid_statuses_fail_at_once_at_bulrushspringd,
                        fleet_fixture)
{
    fleet.start_daemons();
    answer_with(proper_answer);
    start_endless_leafs();
    const system_boot_clock clock;
    const auto recover = [&] {
        answer_with(proper_answer);
        wait_until([&] { return status_of("/v1/read/noise?key=k") == 200; });
    };
    int orders = 0;
    for (const auto& kind : invalid_answers()) {
        BOOST_TEST_CONTEXT(kind.status << " " << kind.ending)
        {
            recover();
            answer_with(kind);
            auto sent_at = clock.now();
            BOOST_TEST(status_of("/v1/read/noise?key=k") >= 500);
            BOOST_TEST((clock.now() - sent_at < at_once));
            recover();
            answer_with(kind);
            const auto id = "odd-order-" + std::to_string(++orders);
            sent_at = clock.now();
            const auto& order = fleet.send_call(
                "noisy-order", manifest::service_kind::request, id);
            BOOST_TEST((clock.now() - sent_at < at_once));
            // It may have run, and must not be sent again.
            BOOST_TEST((order.answer.run == execution::unknown));
            const std::lock_guard lock(mutex);
            BOOST_TEST(arrivals[id] == 1);
        }
    }
}
