#include "libraries/gateway_shell/settings_file.hpp"

#include <fstream>
#include <iterator>

namespace bulrushspring::gateway_shell
{

std::optional<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

settings_file::settings_file(event_base* base, std::string path,
                             std::string content, callbacks handlers,
                             duration interval)
    : path_(std::move(path)), content_(std::move(content)),
      handlers_(std::move(handlers)),
      timer_(event_new(base, -1, EV_PERSIST, on_timer, this))
{
    const timeval period = shell::to_timeval(interval);
    event_add(timer_.get(), &period);
}

bool settings_file::check()
{
    auto content = read_file(path_);
    if (!content) {
        handlers_.unreadable();
        return false;
    }
    if (*content == content_) {
        return false;
    }
    content_ = std::move(*content);
    handlers_.changed(content_);
    return true;
}

void settings_file::on_timer(evutil_socket_t /*socket*/, short /*what*/,
                             void* self)
{
    static_cast<settings_file*>(self)->check();
}

} // namespace bulrushspring::gateway_shell
