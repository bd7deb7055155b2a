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
            http::equal_ignoring_case(each.host, without_port(host)) &&
            (best == nullptr || each.prefix.size() > best->prefix.size())) {
            best = &each;
        }
    }
    return best;
}

const std::string& choose_service(const route& route, std::uint64_t n)
{
    double total = 0;
    for (const auto& each : route.services) {
        total += each.weight;
    }
    constexpr double golden_ratio = 0.6180339887498949;
    double integral = 0;
    double remaining =
        std::modf(static_cast<double>(n) * golden_ratio, &integral) * total;
    for (const auto& each : route.services) {
        remaining -= each.weight;
        if (remaining < 0) {
            return each.service;
        }
    }
    return route.services.back().service;
}

} // namespace bulrushspring::routing
