#ifndef BULRUSHSPRING_FAKES_PLATFORM_VALUES_HPP
#define BULRUSHSPRING_FAKES_PLATFORM_VALUES_HPP

#include "base/error.hpp"
#include "base/time.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace bulrushspring::fakes
{

inline constexpr std::size_t max_value_bytes = std::size_t{1024} * 1024;
inline constexpr std::size_t max_values = 100'000;

// A published value. The revision is the number of changes of its key.
struct value {
    std::uint64_t revision = 0;
    std::string content;
};

using value_table = std::map<std::string, value, std::less<>>;

enum class outage : std::uint8_t { none, refuses, drops };

// The faults that an operator can inject.
struct platform_faults {
    outage down = outage::none; // refuses: status 503; drops: disconnects
    bool stale = false;         // readers see the values as of when it was set
    duration slow{0};           // added to the time of every answer
    duration vms_lag{0};        // delay until readers see a change of `vms`
};

enum class key_class : std::uint8_t { manifest, section, vms, other };
inline constexpr std::array<std::string_view, 4> key_class_names = {
    "manifest", "section", "vms", "other"};

key_class class_of(std::string_view key);

// A change of `vms` that readers do not see yet.
struct pending_change {
    boot_time visible_at;
    std::string content;
};

// The platform's values, faults and counters.
struct platform_state {
    value_table values;
    value_table stale_values; // seen by readers while stale
    std::optional<pending_change> pending_vms;
    platform_faults faults;
    std::array<std::uint64_t, key_class_names.size()> calls{};
    boot_time second_start; // start of the window for calls_in_second
    std::uint64_t calls_in_second = 0;
    std::uint64_t max_calls_in_second = 0;
};

// Sets a value. The revision increases only if the content differs. Errors:
// too_large; overloaded if the table is full.
result<void> publish(platform_state& state, const std::string& key,
                     std::string content, boot_time now);

// Makes the pending change of `vms` visible once its delay has elapsed. Returns
// whether it did.
bool apply_pending_vms(platform_state& state, boot_time now);

// Publishes a folder with the files `manifest`, `vms` and `section/HASH`: the
// sections first, then the list of VMs, and last the manifest that refers to
// them. Errors: not_found if the folder cannot be read, and those of publish.
result<void> publish_folder(platform_state& state, const std::string& folder,
                            boot_time now);

// Freezes the values that readers see, or lets them see the current ones again.
void set_stale(platform_state& state, bool stale);

// Returns the value that readers see under a key, or nullptr if there is none.
const value* visible_value(const platform_state& state, std::string_view key);

// Counts a read request by the class of its key and in its one-second window.
void count_call(platform_state& state, std::string_view key, boot_time now);

} // namespace bulrushspring::fakes

#endif
