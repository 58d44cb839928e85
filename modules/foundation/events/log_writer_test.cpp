#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(log_writer_test)

// A log collector that stops reading fills the pipe. The process must drop log
// lines then, instead of blocking or buffering without bound.
BOOST_AUTO_TEST_CASE(full_pipe_never_blocks_the_writer)
{
    int pipe_descriptors[2];
    BOOST_REQUIRE(::pipe(pipe_descriptors) == 0);
    constexpr std::size_t capacity = 32U << 10;
    log_writer writer(pipe_descriptors[1], capacity);
    const std::string line(500, 'x');
    for (int round = 0; round < 1000; ++round)
    {
        writer.add(line);
        writer.flush();
        BOOST_TEST(writer.pending_bytes() <= capacity);
    }
    BOOST_TEST(writer.dropped() > 0U);
    ::close(pipe_descriptors[0]);
    ::close(pipe_descriptors[1]);
}

// Operators must be able to see in the log itself that lines are missing.
BOOST_AUTO_TEST_CASE(dropped_line_count_is_logged)
{
    int pipe_descriptors[2];
    BOOST_REQUIRE(::pipe(pipe_descriptors) == 0);
    log_writer writer(pipe_descriptors[1], 64);
    writer.add(std::string(40, 'a'));
    writer.add(std::string(40, 'b'));
    writer.add(std::string(40, 'c'));
    writer.flush();
    writer.flush();
    char text[256] = {};
    BOOST_REQUIRE(::read(pipe_descriptors[0], text, sizeof text - 1) > 0);
    const std::string output(text);
    BOOST_TEST(output.find(std::string(40, 'a')) == 0U);
    BOOST_TEST(output.find("bbb") == std::string::npos);
    BOOST_TEST(output.find("\"log_lines_dropped\",\"count\":\"2\"") !=
               std::string::npos);
    ::close(pipe_descriptors[0]);
    ::close(pipe_descriptors[1]);
}

BOOST_AUTO_TEST_SUITE_END()
