// Validates a manifest offline and packs it for publication.

#include "libraries/manifest/documents.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>
#include <optional>

// ABSL_FLAG defines objects whose names do not follow the naming rules.
// NOLINTNEXTLINE
ABSL_FLAG(std::uint64_t, version, 0,
          "version number of the packed manifest, at least 1");

namespace bulrushspring
{
namespace
{

namespace fs = std::filesystem;

constexpr int exit_valid = 0;
constexpr int exit_faults = 1;
constexpr int exit_usage = 2;

constexpr auto usage_text =
    "Validates a manifest with the checks of the daemons, and packs it.\n"
    "  bulrushspring-manifest check FOLDER\n"
    "  bulrushspring-manifest --version=N pack FOLDER OUT\n"
    "FOLDER holds fleet.ini, pool.NAME.ini, service.NAME.ini and optionally\n"
    "vms. The files manifest, section/HASH and vms are written to OUT.\n"
    "Exit status: 0 valid, 1 faults found, 2 usage error or unreadable files.";

// Contents of the manifest files in a folder.
struct folder_contents {
    std::vector<manifest::section_text> sections;
    std::optional<std::string> vms;
};

std::optional<std::string> read_file(const fs::path& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return {};
    }
    return std::string{std::istreambuf_iterator<char>(file), {}};
}

std::optional<folder_contents> read_folder(const fs::path& folder)
{
    folder_contents contents;
    std::error_code failure;
    for (const auto& entry : fs::directory_iterator(folder, failure)) {
        const fs::path& path = entry.path();
        const bool is_vm_list = path.filename() == "vms";
        if (!is_vm_list && path.extension() != ".ini") {
            continue;
        }
        auto text = read_file(path);
        if (!text) {
            std::cerr << path.string() << ": cannot read file\n";
            return {};
        }
        if (is_vm_list) {
            contents.vms = std::move(text);
        } else {
            contents.sections.push_back({path.stem().string(), *text});
        }
    }
    if (failure) {
        std::cerr << folder.string() << ": " << failure.message() << "\n";
        return {};
    }
    std::sort(contents.sections.begin(), contents.sections.end(),
              [](const auto& left, const auto& right) {
                  return left.name < right.name;
              });
    return contents;
}

template <typename Value>
void append_faults(manifest::validation_errors& all,
                   const manifest::checked<Value>& checked)
{
    if (!checked) {
        all.insert(all.end(), checked.error().begin(), checked.error().end());
    }
}

// Cross-section checks run only when every section is valid by itself, as in
// the daemon.
manifest::validation_errors check_folder(const folder_contents& contents,
                                         std::uint64_t version)
{
    manifest::validation_errors all;
    const auto index =
        manifest::parse_index(manifest::pack_index(version, contents.sections));
    append_faults(all, index);
    std::vector<manifest::named_section> parsed;
    for (const auto& [name, text] : contents.sections) {
        auto section = manifest::parse_section(name, text);
        append_faults(all, section);
        if (section) {
            parsed.push_back({name, std::make_shared<const manifest::section>(
                                        std::move(section).value())});
        }
    }
    if (contents.vms) {
        append_faults(all, manifest::parse_vms(*contents.vms));
    }
    if (all.empty()) {
        append_faults(all, manifest::assemble(index.value(), parsed));
    }
    return all;
}

bool write_file(const fs::path& path, const std::string& text)
{
    std::ofstream file(path, std::ios::binary);
    file << text;
    file.close();
    if (!file) {
        std::cerr << path.string() << ": cannot write file\n";
        return false;
    }
    return true;
}

// Writes the sections before the index, so that a publisher that copies the
// files in this order never publishes an index that refers to a missing
// section.
bool write_packed(const folder_contents& contents, std::uint64_t version,
                  const fs::path& out)
{
    std::error_code failure;
    fs::create_directories(out / "section", failure);
    bool succeeded = !failure;
    for (const auto& [name, text] : contents.sections) {
        const std::string hash = to_string(hash_content(text));
        succeeded = succeeded && write_file(out / "section" / hash, text);
    }
    if (contents.vms) {
        succeeded = succeeded && write_file(out / "vms", *contents.vms);
    }
    const std::string index = manifest::pack_index(version, contents.sections);
    return succeeded && write_file(out / "manifest", index);
}

int run(const std::vector<char*>& arguments)
{
    const std::string_view command = arguments.size() > 1 ? arguments[1] : "";
    const bool checking = command == "check" && arguments.size() == 3;
    const bool packing = command == "pack" && arguments.size() == 4;
    const std::uint64_t version = absl::GetFlag(FLAGS_version);
    if (!checking && !packing) {
        std::cerr << usage_text << "\n";
        return exit_usage;
    }
    if (packing && version == 0) {
        std::cerr << "pack requires --version=N with N of at least 1\n";
        return exit_usage;
    }
    const auto contents = read_folder(arguments[2]);
    if (!contents) {
        return exit_usage;
    }
    // The version does not affect the result of a check.
    const auto faults = check_folder(*contents, checking ? 1 : version);
    for (const auto& fault : faults) {
        std::cout << manifest::to_string(fault) << "\n";
    }
    if (!faults.empty()) {
        std::cout << faults.size() << " faults\n";
        return exit_faults;
    }
    if (packing && !write_packed(*contents, version, arguments[3])) {
        return exit_usage;
    }
    std::cout << "valid: " << contents->sections.size() << " sections\n";
    return exit_valid;
}

} // namespace
} // namespace bulrushspring

int main(int argument_count, char** argument_values)
{
    absl::SetProgramUsageMessage(bulrushspring::usage_text);
    return bulrushspring::run(
        absl::ParseCommandLine(argument_count, argument_values));
}
