#include "libraries/memory/account.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace bulrushspring::memory
{
namespace
{

// The account gets half of the process's memory. The rest is for the code and
// the state (about 6 MB, and 10 MB at 9,500 leafs), for copies of the message
// that is being handled, and for what the allocator loses between blocks.
constexpr std::uint64_t account_divisor = 2;
// Connections get half of the account and half of the descriptors, which the
// connections to leafs and to other daemons need too.
constexpr std::uint64_t connections_divisor = 2;
constexpr std::uint64_t max_response_divisor = 8;
// What is dropped beyond the excess, as a fraction of the limit.
constexpr std::uint64_t margin_divisor = 8;
constexpr std::uint64_t connection_margin_divisor = 32;
constexpr std::uint64_t retry_divisor = 64;

template <typename Before>
std::vector<candidate> first_of(std::vector<candidate> all, Before before,
                                std::uint64_t candidate::*of,
                                std::uint64_t amount)
{
    std::sort(all.begin(), all.end(), before);
    std::uint64_t sum = 0;
    auto end = all.begin();
    while (end != all.end() && sum < amount) {
        sum += of == nullptr ? 1 : (*end).*of;
        ++end;
    }
    all.erase(end, all.end());
    return all;
}

} // namespace

limits make_limits(std::uint64_t process_bytes, std::uint64_t descriptors)
{
    limits made;
    if (process_bytes == 0) {
        return made;
    }
    made.bytes = process_bytes / account_divisor;
    made.connections = std::min(made.bytes / accepted_connection, descriptors) /
                       connections_divisor;
    made.response_bytes = made.bytes / max_response_divisor;
    return made;
}

charge::charge(account* of, std::uint64_t bytes) : account_(of)
{
    set(bytes);
}

charge::charge(const charge& other) : charge(other.account_, other.bytes_) {}

charge::charge(charge&& other) noexcept
    : account_(other.account_), bytes_(std::exchange(other.bytes_, 0))
{
}

charge& charge::operator=(const charge& other)
{
    return *this = charge(other);
}

charge& charge::operator=(charge&& other) noexcept
{
    std::swap(account_, other.account_);
    std::swap(bytes_, other.bytes_);
    return *this;
}

charge::~charge()
{
    set(0);
}

void charge::set(std::uint64_t bytes)
{
    if (account_ == nullptr) {
        return;
    }
    account_->reserved = account_->reserved - bytes_ + bytes;
    account_->peak = std::max(account_->peak, account_->reserved);
    bytes_ = bytes;
}

bool is_over_limit(const account& of)
{
    const auto& limits = of.limits;
    return (limits.bytes != 0 &&
            of.reserved > std::max(limits.bytes, of.retry_above)) ||
           (limits.connections != 0 && of.connections > limits.connections);
}

void reclaim_if_over(account* of)
{
    if (of != nullptr && of->reclaim && is_over_limit(*of)) {
        of->reclaim();
    }
}

std::uint64_t excess_bytes(const account& of)
{
    if (of.limits.bytes == 0 || of.reserved <= of.limits.bytes) {
        return 0;
    }
    return of.reserved - of.limits.bytes + of.limits.bytes / margin_divisor;
}

std::uint64_t excess_connections(const account& of)
{
    const auto most = of.limits.connections;
    if (most == 0 || of.connections <= most) {
        return 0;
    }
    return of.connections - most + most / connection_margin_divisor;
}

std::vector<candidate> choose_drops(std::vector<candidate> all,
                                    std::uint64_t bytes)
{
    std::erase_if(all, [](const candidate& each) {
        return each.kind == drop_kind::idle_connection;
    });
    const auto order = [](const candidate& of) {
        return std::make_tuple(of.kind, of.progress, ~of.bytes, of.id);
    };
    return first_of(
        std::move(all),
        [&](const auto& one, const auto& other) {
            return order(one) < order(other);
        },
        &candidate::bytes, bytes);
}

std::vector<candidate> choose_connections(std::vector<candidate> all,
                                          std::uint64_t count)
{
    std::erase_if(all, [](const candidate& each) {
        return each.kind != drop_kind::partial_request &&
               each.kind != drop_kind::idle_connection;
    });
    const auto order = [](const candidate& of) {
        return std::make_tuple(!of.slow, of.slow ? of.progress : 0, of.last_use,
                               of.id);
    };
    return first_of(
        std::move(all),
        [&](const auto& one, const auto& other) {
            return order(one) < order(other);
        },
        nullptr, count);
}

drop_counts
drop_excess(const account& of,
            const std::function<std::vector<candidate>()>& list,
            const std::function<void(const candidate&, bool silently)>& drop)
{
    drop_counts counts{};
    const auto drop_all = [&](const auto& chosen, bool silently) {
        for (const auto& each : chosen) {
            ++counts[static_cast<std::size_t>(each.kind)];
            drop(each, silently);
        }
    };
    if (const auto excess = excess_connections(of)) {
        drop_all(choose_connections(list(), excess), true);
    }
    if (const auto excess = excess_bytes(of)) {
        drop_all(choose_drops(list(), excess), false);
    }
    return counts;
}

bool end_reclaim(account& of)
{
    if (of.limits.bytes == 0 || of.reserved <= of.limits.bytes) {
        of.retry_above = 0;
        return false;
    }
    of.retry_above = of.reserved + of.limits.bytes / retry_divisor;
    return true;
}

bool should_return_memory(account& of)
{
    if (of.peak - of.reserved < of.limits.bytes / margin_divisor ||
        of.limits.bytes == 0) {
        return false;
    }
    of.peak = of.reserved;
    return true;
}

std::string prometheus_text(const account& of)
{
    std::string text;
    for (const auto& [name, value] :
         {std::pair{"memory_reserved_bytes", of.reserved},
          std::pair{"memory_limit_bytes", of.limits.bytes},
          std::pair{"accepted_connections", of.connections}}) {
        const auto full = std::string("bulrushspring_") + name;
        text += "# TYPE " + full + " gauge\n" + full + ' ' +
                std::to_string(value) + '\n';
    }
    return text;
}

} // namespace bulrushspring::memory
