#ifndef BULRUSHSPRING_LIBRARIES_LOG_WRITER_HPP
#define BULRUSHSPRING_LIBRARIES_LOG_WRITER_HPP

#include "base/time.hpp"
#include "libraries/log/record.hpp"

#include <cstddef>
#include <string>

namespace bulrushspring
{

struct log_limits {
    // Lines a second; those of warnings and errors have a share of their own,
    // so that a flood of decisions does not hide failures.
    std::uint32_t info_per_second = 300;
    std::uint32_t warnings_per_second = 300;
    // What waits for a reader that does not keep up; more is dropped.
    std::size_t most_buffered = 256UL * 1024;
    // Lines are written together once so much waits.
    std::size_t batch = 4096;
};

// Writes log lines to a descriptor and never waits for it. Lines that do not
// fit are counted, and a later line says how many.
class log_writer
{
public:
    log_writer(int descriptor, const log_limits& limits);

    void write(const log_record& record, boot_time now);

    // Hands what is buffered to the descriptor, as much as it takes.
    void flush();

    std::size_t dropped() const { return dropped_in_all_; }

private:
    bool within_rate(severity level, boot_time now);
    void append(const std::string& line);
    void report_dropped();

    int descriptor_;
    log_limits limits_;
    std::string buffer_;
    boot_time second_began_{};
    std::uint32_t infos_ = 0;
    std::uint32_t warnings_ = 0;
    std::size_t dropped_ = 0; // since the last line that told of it
    std::size_t dropped_in_all_ = 0;
};

} // namespace bulrushspring

#endif
