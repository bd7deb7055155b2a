#include "fakes/http/program.hpp"

#include "fakes/http/server.hpp"

#include <csignal>
#include <iostream>

namespace bulrushspring::fakes
{
namespace
{

void on_stop_signal(evutil_socket_t /*unused*/, short /*unused*/,
                    void* argument)
{
    event_base_loopbreak(static_cast<event_base*>(argument));
}

} // namespace

result<void> announce_addresses(const std::string& path,
                                std::string_view addresses)
{
    std::cout << addresses << std::flush;
    if (path.empty()) {
        return success();
    }
    return write_file(path, addresses);
}

result<void> run_until_signal(event_base& base)
{
    client::ignore_broken_pipes();
    const client::event_pointer terminate(
        evsignal_new(&base, SIGTERM, on_stop_signal, &base));
    const client::event_pointer interrupt(
        evsignal_new(&base, SIGINT, on_stop_signal, &base));
    evsignal_add(terminate.get(), nullptr);
    evsignal_add(interrupt.get(), nullptr);
    event_base_dispatch(&base);
    return success();
}

int exit_code_of(const result<void>& outcome)
{
    if (outcome.has_value()) {
        return 0;
    }
    std::cerr << to_string(outcome.error()) << "\n";
    return 1;
}

} // namespace bulrushspring::fakes
