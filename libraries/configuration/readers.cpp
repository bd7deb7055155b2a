#include "libraries/configuration/readers.hpp"

#include "base/hash.hpp"

#include <algorithm>
#include <map>
#include <string_view>

namespace bulrushspring::configuration
{
namespace
{

struct ranked_member {
    std::uint64_t score;
    std::string_view name;
};

bool ranks_before(const ranked_member& left, const ranked_member& right)
{
    return left.score != right.score ? left.score > right.score
                                     : left.name < right.name;
}

ranked_member rank_member(const wire::member_record& member)
{
    return {stable_hash(member.name), member.name};
}

// Inserts a member into the list, which is ordered by descending rank and holds
// at most `max_size` members.
void insert_bounded(std::vector<ranked_member>& highest,
                    const ranked_member& one, std::size_t max_size)
{
    const auto position =
        std::upper_bound(highest.begin(), highest.end(), one, ranks_before);
    highest.insert(position, one);
    if (highest.size() > max_size) {
        highest.pop_back();
    }
}

} // namespace

reader_selection select_readers(const peers& fleet, std::size_t per_data_centre)
{
    reader_selection selection;
    std::map<std::string_view, std::size_t> members_by_data_centre;
    std::vector<ranked_member> highest{rank_member(fleet.self)};
    for (const auto& member : fleet.live) {
        if (member.name == fleet.self.name) {
            continue;
        }
        ++selection.members_seen;
        ++members_by_data_centre[member.data_centre];
        if (member.data_centre == fleet.self.data_centre) {
            insert_bounded(highest, rank_member(member), per_data_centre);
        }
    }
    ++members_by_data_centre[fleet.self.data_centre];
    selection.readers_seen = 0;
    for (const auto& [data_centre, members] : members_by_data_centre) {
        selection.readers_seen += std::min(members, per_data_centre);
    }
    for (const auto& one : highest) {
        selection.readers.emplace_back(one.name);
        selection.reading = selection.reading || one.name == fleet.self.name;
    }
    return selection;
}

double fair_call_rate(double fleet_calls_per_second, std::size_t fleet_size,
                      const reader_selection& selection)
{
    const double visible_fraction =
        std::min(1.0, static_cast<double>(selection.members_seen) /
                          static_cast<double>(fleet_size));
    return fleet_calls_per_second * visible_fraction /
           static_cast<double>(selection.readers_seen);
}

bool try_take_call(call_rate_limiter& call_limiter, boot_time now)
{
    const double elapsed =
        std::chrono::duration<double>(now - call_limiter.updated_at).count();
    call_limiter.tokens =
        std::min(max_call_tokens,
                 call_limiter.tokens + elapsed * call_limiter.per_second);
    call_limiter.updated_at = now;
    if (call_limiter.tokens < 1.0) {
        return false;
    }
    call_limiter.tokens -= 1.0;
    return true;
}

boot_time next_call_time(const call_rate_limiter& call_limiter)
{
    const double missing_tokens = std::max(0.0, 1.0 - call_limiter.tokens);
    const std::chrono::duration<double> wait{missing_tokens /
                                             call_limiter.per_second};
    // One additional microsecond, so that rounding never leads to an attempt
    // before the token is available.
    return call_limiter.updated_at +
           std::chrono::duration_cast<duration>(wait) +
           std::chrono::microseconds{1};
}

} // namespace bulrushspring::configuration
