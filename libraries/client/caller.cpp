#include "libraries/client/caller.hpp"

#include <array>
#include <cstdio>
#include <thread>
#include <utility>

namespace bulrushspring::client
{
namespace
{

// Performs the next step of a call. Returns false once the call has ended.
bool perform_step(call_progress& progress, address_book& book,
                  const transport& over)
{
    const auto now = over.now();
    const auto step = next_step(progress, book, now);
    if (const auto* asked = std::get_if<ask_addresses>(&step)) {
        const auto ended =
            over.exchange(asked->from, asked->request, asked->timeout);
        take_addresses(progress, book, asked->from, ended, now);
        return true;
    }
    if (const auto* sent = std::get_if<send_call>(&step)) {
        const auto ended =
            over.exchange(sent->to, sent->request, sent->timeout);
        take_answer(progress, book, ended, over.now());
        return true;
    }
    if (const auto* pause = std::get_if<pause_call>(&step)) {
        over.pause(pause->wait);
        return true;
    }
    return false;
}

} // namespace

transport http_transport()
{
    return {[](const endpoint& to, const http_request& request,
               duration limit) { return exchange(to, request, limit); },
            [] { return system_boot_clock{}.now(); },
            [](duration wait) { std::this_thread::sleep_for(wait); }};
}

std::string make_request_id(random_source& random)
{
    std::array<char, 33> text{};
    std::snprintf(text.data(), text.size(), "%016llx%016llx",
                  static_cast<unsigned long long>(random()),
                  static_cast<unsigned long long>(random()));
    return text.data();
}

call_outcome run_call(address_book& book, const transport& over, call what)
{
    auto progress = begin_call(book, std::move(what), over.now());
    while (perform_step(progress, book, over)) {
    }
    return std::move(progress.outcome);
}

} // namespace bulrushspring::client
