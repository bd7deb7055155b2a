#ifndef BULRUSHSPRING_LIBRARIES_LOG_WRITER_HPP
#define BULRUSHSPRING_LIBRARIES_LOG_WRITER_HPP

#include "base/time.hpp"
#include "libraries/log/record.hpp"

#include <cstddef>
#include <string>

namespace bulrushspring
{

struct log_limits {
    // Maximum lines per second. Warnings and errors have a limit of their own,
    // so that a flood of info lines does not displace them.
    std::uint32_t info_per_second = 300;
    std::uint32_t warnings_per_second = 300;
    // Lines are dropped while more than this is buffered for a slow reader.
    std::size_t max_buffered_bytes = 256UL * 1024;
    // The buffer is flushed once it holds this many bytes.
    std::size_t batch_bytes = 4096;
};

// Writes log lines to a file descriptor, which it sets to non-blocking mode.
// Lines above the limits are dropped and counted; the next line that is written
// is preceded by a lines_dropped event with their number.
class log_writer
{
public:
    log_writer(int descriptor, const log_limits& limits);

    void write(const log_record& record, boot_time now);

    // Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    // Lines dropped since the writer was made.
    std::size_t dropped() const { return total_dropped_; }

private:
    bool within_rate(severity level, boot_time now);
    void append(const std::string& line);
    void report_dropped();

    int descriptor_;
    log_limits limits_;
    std::string buffer_;
    boot_time rate_window_start_{};
    std::uint32_t info_lines_ = 0;
    std::uint32_t warning_lines_ = 0;
    std::size_t dropped_ = 0; // since the last lines_dropped event
    std::size_t total_dropped_ = 0;
};

} // namespace bulrushspring

#endif
