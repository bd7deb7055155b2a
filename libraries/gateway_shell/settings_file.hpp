#ifndef BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_SETTINGS_FILE_HPP
#define BULRUSHSPRING_LIBRARIES_GATEWAY_SHELL_SETTINGS_FILE_HPP

#include "libraries/shell/handles.hpp"

#include <functional>
#include <optional>
#include <string>

// Watching of a settings file that may change while the daemon runs.
namespace bulrushspring::gateway_shell
{

// The content of a file; empty if it can't be read.
std::optional<std::string> read_file(const std::string& path);

// Polls the file for changes, since it may change without a signal.
class settings_file
{
public:
    // Costs a few small reads a minute. Seeds that are outdated for some
    // seconds do no harm to a daemon that knows its peers.
    static constexpr seconds poll_interval{5};

    // `changed` is called with the new content, `unreadable` each time the
    // file can't be read.
    struct callbacks {
        std::function<void(const std::string&)> changed;
        std::function<void()> unreadable;
    };

    settings_file(event_base* base, std::string path, std::string content,
                  callbacks handlers, duration interval = poll_interval);
    settings_file(const settings_file&) = delete;
    settings_file& operator=(const settings_file&) = delete;

    // Reads the file now and calls the callbacks. Returns whether it has
    // changed since it was last read.
    bool check();

private:
    static void on_timer(evutil_socket_t socket, short what, void* self);

    std::string path_;
    std::string content_;
    callbacks handlers_;
    shell::event_handle timer_;
};

} // namespace bulrushspring::gateway_shell

#endif
