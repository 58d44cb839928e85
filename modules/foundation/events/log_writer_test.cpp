#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>
#include <unistd.h>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(log_writer_test)

BOOST_AUTO_TEST_CASE(a_reader_that_does_not_read_never_blocks_the_writer)
{
    int ends[2];
    BOOST_REQUIRE(::pipe(ends) == 0);
    constexpr std::size_t capacity = 32U << 10;
    log_writer writer(ends[1], capacity);
    const std::string line(500, 'x');
    for (int round = 0; round < 1000; ++round)
    {
        writer.add(line);
        writer.flush();
        BOOST_TEST(writer.waiting() <= capacity);
    }
    BOOST_TEST(writer.dropped() > 0U);
    ::close(ends[0]);
    ::close(ends[1]);
}

BOOST_AUTO_TEST_CASE(dropped_lines_are_counted_in_a_line_of_their_own)
{
    int ends[2];
    BOOST_REQUIRE(::pipe(ends) == 0);
    log_writer writer(ends[1], 64);
    writer.add(std::string(40, 'a'));
    writer.add(std::string(40, 'b'));
    writer.add(std::string(40, 'c'));
    writer.flush();
    writer.flush();
    char text[256] = {};
    BOOST_REQUIRE(::read(ends[0], text, sizeof text - 1) > 0);
    const std::string seen(text);
    BOOST_TEST(seen.find(std::string(40, 'a')) == 0U);
    BOOST_TEST(seen.find("bbb") == std::string::npos);
    BOOST_TEST(seen.find("\"log_lines_dropped\",\"count\":\"2\"") !=
               std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

BOOST_AUTO_TEST_SUITE_END()
