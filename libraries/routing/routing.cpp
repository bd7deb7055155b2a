#include "libraries/routing/routing.hpp"

#include "libraries/http/message.hpp"

#include <cmath>

namespace bulrushspring::routing
{
namespace
{

std::string_view without_port(std::string_view host)
{
    return host.substr(0, host.rfind(':'));
}

} // namespace

const route* find_route(const table& routes, std::string_view host,
                        std::string_view path)
{
    const route* best = nullptr;
    for (const auto& each : routes.routes) {
        if (path.substr(0, each.prefix.size()) == each.prefix &&
            http::same_name(each.host, without_port(host)) &&
            (best == nullptr || each.prefix.size() > best->prefix.size())) {
            best = &each;
        }
    }
    return best;
}

const std::string& choose_service(const route& of, std::uint64_t n)
{
    double total = 0;
    for (const auto& each : of.services) {
        total += each.weight;
    }
    constexpr double golden_ratio = 0.6180339887498949;
    double whole = 0;
    double left =
        std::modf(static_cast<double>(n) * golden_ratio, &whole) * total;
    for (const auto& each : of.services) {
        left -= each.weight;
        if (left < 0) {
            return each.service;
        }
    }
    return of.services.back().service;
}

} // namespace bulrushspring::routing
