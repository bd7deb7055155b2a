#include "libraries/catalogue/catalogue.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, id, "",
          "Id of the request, or of the leaf, to search for.");

namespace
{

using namespace bulrushspring;

// A log line with its timestamp in milliseconds since the Unix epoch and the
// file that contains it.
struct traced_line {
    std::int64_t time = 0;
    std::string file;
    std::string text;
};

// Timestamp of a line, 0 if there is none: the first 13-digit number, which is
// the length of a Unix time in milliseconds. Searching for it also handles
// lines that a log collector has prefixed.
std::int64_t timestamp_of(std::string_view line)
{
    constexpr std::size_t timestamp_digits = 13;
    for (std::size_t at = 0; at + timestamp_digits < line.size(); ++at) {
        std::int64_t value = 0;
        const auto end = line.data() + at + timestamp_digits;
        const auto parsed = std::from_chars(line.data() + at, end, value);
        if (parsed.ec == std::errc{} && parsed.ptr == end &&
            line[at + timestamp_digits] == ' ') {
            return value;
        }
    }
    return 0;
}

// Whether the id occurs in the line as a whole field value or list element,
// not as a part of a longer one.
bool contains_id(std::string_view line, std::string_view id)
{
    constexpr std::string_view allowed_before = "=, ";
    constexpr std::string_view allowed_after = ", \"";
    for (auto at = line.find(id); at != std::string_view::npos;
         at = line.find(id, at + 1)) {
        const auto end = at + id.size();
        if (at > 0 &&
            allowed_before.find(line[at - 1]) != std::string_view::npos &&
            (end == line.size() ||
             allowed_after.find(line[end]) != std::string_view::npos)) {
            return true;
        }
    }
    return false;
}

std::string_view meaning_of(std::string_view line)
{
    for (const auto* event : catalogue::all_events()) {
        const auto number = " E" + std::to_string(event->number) + " ";
        if (line.find(number) != std::string_view::npos) {
            return event->meaning;
        }
    }
    return {};
}

void collect_lines(const std::string& path, const std::string& id,
                   std::vector<traced_line>& found)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": cannot read file\n";
    }
    for (std::string line; std::getline(file, line);) {
        if (contains_id(line, id)) {
            found.push_back({timestamp_of(line), path, line});
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Prints the daemons' log lines about a request, oldest first, with the "
        "meaning of each event.\n"
        "usage: bulrushspring-trace --id=ID LOGFILE...");
    const auto files = absl::ParseCommandLine(argc, argv);
    const auto id = absl::GetFlag(FLAGS_id);
    if (id.empty() || files.size() < 2) {
        std::cerr << "usage: bulrushspring-trace --id=ID LOGFILE...\n";
        return 2;
    }
    std::vector<traced_line> found;
    for (std::size_t i = 1; i < files.size(); ++i) {
        collect_lines(files[i], id, found);
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const auto& left, const auto& right) {
                         return left.time < right.time;
                     });
    for (const auto& each : found) {
        std::cout << each.file << ": " << each.text << "\n    "
                  << meaning_of(each.text) << '\n';
    }
    return found.empty() ? 1 : 0;
}
