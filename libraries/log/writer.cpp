#include "libraries/log/writer.hpp"

#include "libraries/log/events.hpp"

#include <cerrno>
#include <chrono>
#include <fcntl.h>
#include <unistd.h>

namespace bulrushspring
{
namespace
{

char level_letter(severity level)
{
    switch (level) {
    case severity::info:
        return 'I';
    case severity::warning:
        return 'W';
    case severity::error:
        return 'E';
    }
    return 'I';
}

// Milliseconds since the Unix epoch. Log lines carry the wall-clock time, so
// that those of several daemons can be merged.
std::int64_t time_of_day_ms()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
}

} // namespace

log_writer::log_writer(int descriptor, const log_limits& limits)
    : descriptor_(descriptor), limits_(limits)
{
    const int flags = fcntl(descriptor_, F_GETFL);
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
}

bool log_writer::within_rate(severity level, boot_time now)
{
    if (now - rate_window_start_ >= seconds{1}) {
        rate_window_start_ = now;
        info_lines_ = 0;
        warning_lines_ = 0;
    }
    if (level == severity::info) {
        return ++info_lines_ <= limits_.info_per_second;
    }
    return ++warning_lines_ <= limits_.warnings_per_second;
}

void log_writer::write(const log_record& record, boot_time now)
{
    if (!within_rate(record.definition->level, now) ||
        buffer_.size() > limits_.max_buffered_bytes) {
        ++dropped_;
        ++total_dropped_;
        return;
    }
    if (dropped_ > 0) {
        report_dropped();
    }
    append(std::string(1, level_letter(record.definition->level)) + " " +
           to_string(record));
}

void log_writer::report_dropped()
{
    const auto summary =
        make_record(log_events::lines_dropped, field("lines", dropped_));
    dropped_ = 0;
    append("W " + to_string(summary));
}

void log_writer::append(const std::string& line)
{
    buffer_ += std::to_string(time_of_day_ms());
    buffer_ += ' ';
    buffer_ += line;
    buffer_ += '\n';
    if (buffer_.size() >= limits_.batch_bytes) {
        flush();
    }
}

void log_writer::flush()
{
    while (!buffer_.empty()) {
        const auto written =
            ::write(descriptor_, buffer_.data(), buffer_.size());
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            return; // full or closed; keep the buffer, the reader may resume
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

} // namespace bulrushspring
