#include "fleet.hpp"

namespace bulrushspring::configuration::test
{

void simulated_fleet::check_invariants(std::size_t member_index)
{
    auto& one = members[member_index];
    const auto& what = one.node->in_force.id;
    const auto report = [&](const std::string& text) {
        violations.push_back(
            std::to_string(to_milliseconds(now.time_since_epoch())) +
            " ms: " + one.record.name + " " + text);
    };
    if (is_newer(one.highest, what)) {
        report("reverted to an older manifest");
    }
    one.highest = what;
    if (what.version > 0 && !valid.contains(what.hash)) {
        report("has an invalid manifest in force");
    }
    const bool serves_first = ready(*one.node) && !one.was_ready;
    one.was_ready = one.was_ready || serves_first;
    if (serves_first && one.disturbances == disturbances_ &&
        is_newer(one.min_expected, what)) {
        report("became ready with an older manifest than its peers");
    }
}

std::size_t simulated_fleet::count_in_force(const document_id& what) const
{
    std::size_t count = 0;
    for (const auto& one : members) {
        count += one.node && one.node->in_force.id == what ? 1 : 0;
    }
    return count;
}

bool simulated_fleet::converged() const
{
    for (const auto& one : members) {
        if (!one.node || !ready(*one.node) ||
            !(digest_of(*one.node) == digest_of(*members[0].node))) {
            return false;
        }
    }
    return true;
}

std::size_t simulated_fleet::platform_call_count(std::string_view prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        platform_calls.begin(), platform_calls.end(),
        [&](const auto& call) { return call.key.starts_with(prefix); }));
}

} // namespace bulrushspring::configuration::test
