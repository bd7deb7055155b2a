#include "fakes/platform/values.hpp"

#include "fakes/http/server.hpp"

#include <algorithm>
#include <filesystem>
#include <utility>

namespace bulrushspring::fakes
{
namespace
{

constexpr std::string_view vms_key = "vms";
constexpr std::string_view section_prefix = "section/";

void set_value(value_table& values, const std::string& key, std::string content)
{
    auto& current = values[key];
    if (current.revision > 0 && current.content == content) {
        return;
    }
    ++current.revision;
    current.content = std::move(content);
}

result<void> publish_file(platform_state& state, const std::string& key,
                          const std::filesystem::path& path, boot_time now)
{
    TRY(content, read_file(path.string()));
    return publish(state, key, std::move(content), now);
}

} // namespace

key_class class_of(std::string_view key)
{
    if (key == "manifest") {
        return key_class::manifest;
    }
    if (key == vms_key) {
        return key_class::vms;
    }
    return key.substr(0, section_prefix.size()) == section_prefix
               ? key_class::section
               : key_class::other;
}

result<void> publish(platform_state& state, const std::string& key,
                     std::string content, boot_time now)
{
    if (content.size() > max_value_bytes) {
        return error{errc::too_large, "publish", key, ""};
    }
    if (state.values.size() >= max_values && state.values.count(key) == 0) {
        return error{errc::overloaded, "publish", key, "too many values"};
    }
    if (key == vms_key && state.faults.vms_lag > duration{0}) {
        state.pending_vms =
            pending_change{now + state.faults.vms_lag, std::move(content)};
        return success();
    }
    set_value(state.values, key, std::move(content));
    return success();
}

bool apply_pending_vms(platform_state& state, boot_time now)
{
    if (!state.pending_vms || state.pending_vms->visible_at > now) {
        return false;
    }
    set_value(state.values, std::string(vms_key),
              std::move(state.pending_vms->content));
    state.pending_vms.reset();
    return true;
}

result<void> publish_folder(platform_state& state, const std::string& folder,
                            boot_time now)
{
    const std::filesystem::path root(folder);
    std::error_code failure;
    const std::filesystem::directory_iterator sections(root / "section",
                                                       failure);
    if (failure) {
        return error{errc::not_found, "publish folder", folder,
                     failure.message()};
    }
    for (const auto& file : sections) {
        TRY(publish_file(state, "section/" + file.path().filename().string(),
                         file.path(), now));
    }
    if (std::filesystem::exists(root / vms_key)) {
        TRY(publish_file(state, std::string(vms_key), root / vms_key, now));
    }
    return publish_file(state, "manifest", root / "manifest", now);
}

void set_stale(platform_state& state, bool stale)
{
    if (stale && !state.faults.stale) {
        state.stale_values = state.values;
    }
    if (!stale) {
        state.stale_values.clear();
    }
    state.faults.stale = stale;
}

const value* visible_value(const platform_state& state, std::string_view key)
{
    const auto& values = state.faults.stale ? state.stale_values : state.values;
    const auto found = values.find(key);
    return found == values.end() ? nullptr : &found->second;
}

void count_call(platform_state& state, std::string_view key, boot_time now)
{
    ++state.calls[static_cast<std::size_t>(class_of(key))];
    if (now - state.second_start >= seconds{1}) {
        state.second_start = now;
        state.calls_in_second = 0;
    }
    ++state.calls_in_second;
    state.max_calls_in_second =
        std::max(state.max_calls_in_second, state.calls_in_second);
}

} // namespace bulrushspring::fakes
