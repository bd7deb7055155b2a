#ifndef BULRUSHSPRING_TESTS_SOAK_SERVED_SITE_HPP
#define BULRUSHSPRING_TESTS_SOAK_SERVED_SITE_HPP

#include "tests/http/loop.hpp"
#include "tests/soak/site_fixture.hpp"

namespace bulrushspring::test
{

inline constexpr std::size_t max_legal_body = 262144; // of a request

// A small installation of real daemons, and callers of the last of them. The
// test's thread runs the store and the leafs.
struct served_site {
    shell::base_handle base = client::make_event_base();
    site::installation site;
    std::size_t requests = 0;

    // `memory_mb` is what each daemon may use. Returns once the last daemon
    // answers this request.
    served_site(std::string_view name, std::size_t daemons,
                std::uint64_t memory_mb, const std::string& ordinary)
        : site(base.get(), make_options(name, daemons, memory_mb)),
          ordinary_(ordinary)
    {
        for (auto& each : site.daemons) {
            site.start(each);
        }
        while (!is_served()) {
        }
    }

    site::daemon& tried() { return site.daemons.back(); }
    endpoint address() { return site.callers_address(tried()); }

    void turn()
    {
        run_loop(base.get(), milliseconds{5}, [] {});
    }

    // Passes the time while the condition, which is evaluated each few
    // milliseconds, holds, up to the limit.
    template <typename Condition>
    void wait_while(const Condition& holds, duration limit)
    {
        const system_boot_clock clock;
        const auto until = clock.now() + limit;
        while (holds() && clock.now() < until) {
            turn();
        }
    }

    // The request line and the common fields of a new request's header.
    std::string head(const std::string& line)
    {
        return line +
               " HTTP/1.1\r\nHost: site.example\r\nDeadline-Ms: "
               "60000\r\nAttempt-Id: request" +
               std::to_string(++requests) + "\r\n";
    }

    // Whether an ordinary request is answered within 5 s.
    bool is_served()
    {
        http_test::raw_socket caller(http_test::connect_to(address()));
        caller.send(head(ordinary_) + "\r\n");
        wait_while(
            [&] {
                caller.receive();
                return caller.received.empty() && !caller.ended;
            },
            seconds{5});
        return caller.received.starts_with("HTTP/1.1 200");
    }

private:
    static site::site_options make_options(std::string_view name,
                                           std::size_t daemons,
                                           std::uint64_t memory_mb)
    {
        auto options = make_site_options(name);
        options.daemons = daemons;
        options.shards = 2;
        options.leafs = 2;
        options.memory_mb = memory_mb;
        options.max_body_bytes = max_legal_body;
        return options;
    }

    std::string ordinary_;
};

} // namespace bulrushspring::test

#endif
