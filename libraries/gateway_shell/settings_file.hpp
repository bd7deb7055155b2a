#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_SETTINGS_FILE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_SETTINGS_FILE_HPP

#include "libraries/shell/handles.hpp"

#include <functional>
#include <optional>
#include <string>

// A settings file that may change while the daemon runs.
namespace bulrushspring::gateway_shell
{

// The whole of a file; nothing if it can't be read.
std::optional<std::string> read_file(const std::string& path);

// Looks at the file now and then, for it may change without a signal.
class settings_file
{
public:
    // A few small reads in a minute; seeds that are old for some seconds do
    // no harm to a daemon that knows its peers.
    static constexpr seconds look_interval{5};

    // `changed` is given the new content, `unreadable` is called when the
    // file can't be read.
    struct callbacks {
        std::function<void(const std::string&)> changed;
        std::function<void()> unreadable;
    };

    settings_file(event_base* base, std::string path, std::string content,
                  callbacks act, duration interval = look_interval);
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    // Looks at once. True if the file has changed.
    bool look();

private:
    static void pass_time(evutil_socket_t socket, short what, void* self);

    std::string path_;
    std::string content_;
    callbacks act_;
    shell::event_handle timer_;
};

} // namespace bulrushspring::gateway_shell

#endif
