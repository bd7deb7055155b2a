#include "libraries/catalogue/catalogue.hpp"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <iostream>
#include <string_view>

ABSL_FLAG(std::string, id, "", "The request's id, or a leaf's.");

namespace
{

using namespace bulrushspring;

// A log line with its time in milliseconds and where it was read.
struct traced_line {
    std::int64_t time = 0;
    std::string file;
    std::string text;
};

// The time is the first number of the line with as many digits as a time of
// day in milliseconds has, so that lines with something before it do too.
std::int64_t time_of(std::string_view line)
{
    constexpr std::size_t digits = 13;
    for (std::size_t at = 0; at + digits < line.size(); ++at) {
        std::int64_t value = 0;
        const auto end = line.data() + at + digits;
        const auto parsed = std::from_chars(line.data() + at, end, value);
        if (parsed.ec == std::errc{} && parsed.ptr == end &&
            line[at + digits] == ' ') {
            return value;
        }
    }
    return 0;
}

// Whether a value of the line, or an element of a list in it, is the id.
bool names(std::string_view line, std::string_view id)
{
    constexpr std::string_view before = "=, ";
    constexpr std::string_view behind = ", \"";
    for (auto at = line.find(id); at != std::string_view::npos;
         at = line.find(id, at + 1)) {
        const auto end = at + id.size();
        if (at > 0 && before.find(line[at - 1]) != std::string_view::npos &&
            (end == line.size() ||
             behind.find(line[end]) != std::string_view::npos)) {
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

void collect(const std::string& path, const std::string& id,
             std::vector<traced_line>& found)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << path << ": can't be read\n";
    }
    for (std::string line; std::getline(file, line);) {
        if (names(line, id)) {
            found.push_back({time_of(line), path, line});
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage(
        "Prints what daemons logged of a request, oldest first.\n"
        "usage: bulrushspring-trace --id=ID LOGFILE...");
    const auto files = absl::ParseCommandLine(argc, argv);
    const auto id = absl::GetFlag(FLAGS_id);
    if (id.empty() || files.size() < 2) {
        std::cerr << "usage: bulrushspring-trace --id=ID LOGFILE...\n";
        return 2;
    }
    std::vector<traced_line> found;
    for (std::size_t i = 1; i < files.size(); ++i) {
        collect(files[i], id, found);
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
