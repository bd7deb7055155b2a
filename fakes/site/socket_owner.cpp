#include "fakes/site/socket_owner.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace bulrushspring::site
{
namespace
{

std::set<std::string> sockets_of(pid_t process)
{
    std::set<std::string> inodes;
    std::error_code failure;
    const auto folder = "/proc/" + std::to_string(process) + "/fd";
    for (std::filesystem::directory_iterator each(folder, failure), end;
         !failure && each != end; each.increment(failure)) {
        std::error_code unreadable;
        const auto target =
            std::filesystem::read_symlink(each->path(), unreadable).string();
        constexpr std::string_view prefix = "socket:[";
        if (target.starts_with(prefix)) {
            inodes.insert(target.substr(prefix.size(),
                                        target.size() - prefix.size() - 1));
        }
    }
    return inodes;
}

} // namespace

std::set<std::uint16_t> ports_of(std::span<const pid_t> processes)
{
    std::set<std::string> inodes;
    for (const auto each : processes) {
        inodes.merge(sockets_of(each));
    }
    std::set<std::uint16_t> ports;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line); // the header
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string column;
        std::string local;
        constexpr int local_column = 1;
        constexpr int inode_column = 9;
        for (int i = 0; i <= inode_column && columns >> column; ++i) {
            local = i == local_column ? column : local;
        }
        if (inodes.count(column) > 0) {
            const auto port = local.substr(local.find(':') + 1);
            ports.insert(
                static_cast<std::uint16_t>(std::stoul(port, nullptr, 16)));
        }
    }
    return ports;
}

} // namespace bulrushspring::site
