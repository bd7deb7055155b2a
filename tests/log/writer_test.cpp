#include "libraries/log/writer.hpp"

#include <array>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace bulrushspring;

namespace
{

constexpr event_definition info_event{1, severity::info, "decision", "n", ""};
constexpr event_definition warning_event{2, severity::warning, "failure", "n",
                                         ""};

struct pipe_pair {
    std::array<int, 2> ends{};
    pipe_pair() { BOOST_REQUIRE_EQUAL(pipe(ends.data()), 0); }
    ~pipe_pair()
    {
        close(ends[0]);
        close(ends[1]);
    }
    std::string read_all() const
    {
        std::string text(1 << 20, '\0');
        const auto size = read(ends[0], text.data(), text.size());
        text.resize(size > 0 ? static_cast<std::size_t>(size) : 0);
        return text;
    }
};

} // namespace

BOOST_AUTO_TEST_CASE(a_reader_that_stops_reading_does_not_block_the_writer)
{
    const pipe_pair pipe;
    log_limits limits;
    limits.info_per_second = 1'000'000;
    limits.max_buffered_bytes = 10'000;
    log_writer writer(pipe.ends[1], limits);
    const boot_time now{seconds{1}};
    for (int i = 0; i < 100'000; ++i) { // far more than the capacity of a pipe
        writer.write(make_record(info_event, field("n", i)), now);
    }
    BOOST_TEST(writer.dropped() > 0U);
    // Once the reader resumes, it gets the number of dropped lines.
    pipe.read_all();
    writer.flush();
    writer.write(make_record(info_event, field("n", -1)), now);
    writer.flush();
    const auto text = pipe.read_all();
    BOOST_TEST(text.find("E901 lines_dropped lines=") != std::string::npos);
    BOOST_TEST(text.find("n=-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_flood_of_info_lines_does_not_displace_warnings)
{
    const pipe_pair pipe;
    log_limits limits;
    limits.info_per_second = 10;
    log_writer writer(pipe.ends[1], limits);
    const boot_time now{seconds{1}};
    for (int i = 0; i < 1000; ++i) {
        writer.write(make_record(info_event, field("n", i)), now);
    }
    writer.write(make_record(warning_event, field("n", 7)), now);
    writer.flush();
    const auto text = pipe.read_all();
    BOOST_TEST(text.find("W E2 failure n=7") != std::string::npos);
    BOOST_TEST(text.find("lines_dropped lines=990") != std::string::npos);
    BOOST_TEST(text.find("n=10\n") == std::string::npos);
}
