// Guards against clients that make a process of the system exceed its memory
// or its descriptors, or keep it from serving others. Each case plays a crowd
// of such clients against a process with lowered limits. A test checks no times
// and no share of the requests that are served.

#include "client_limits/client_crowd.hpp"
#include "client_limits/limited_process.hpp"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry::client_limits;

namespace
{

/** Where the clients of a crowd send their requests. */
enum class destination
{
    route,
    unknown_path,
    readiness
};

constexpr destination destinations[] = {
    destination::route, destination::unknown_path, destination::readiness};

std::ostream& operator<<(std::ostream& stream, destination place)
{
    constexpr const char* names[] = {"route", "unknown path", "readiness"};
    return stream << names[static_cast<int>(place)];
}

/** The start line and the fields that each request has. */
std::string request_start(destination place)
{
    constexpr const char* paths[] = {"/confirm/crowd", "/nowhere/crowd",
                                     "/-/ready"};
    return std::string("POST ") + paths[static_cast<int>(place)] +
           " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " +
           review::next_request_id() + "\r\nX-Deadline-Ms: 4000\r\n";
}

/** Slightly below max-body-bytes. */
constexpr std::size_t legal_body_bytes = 4000000;

/** A body that stops one byte short. */
client_plan unfinished_body(destination place, std::size_t write_bytes)
{
    client_plan plan;
    plan.head = request_start(place) +
                "Content-Length: " + std::to_string(legal_body_bytes) +
                "\r\n\r\n";
    plan.body_unit = std::string(1000, 'b');
    plan.body_bytes = legal_body_bytes - 1;
    plan.write_bytes = write_bytes;
    return plan;
}

client_plan chunked_body(destination place, const std::string& begin,
                         const std::string& unit, std::size_t bytes)
{
    client_plan plan;
    plan.head =
        request_start(place) + "Transfer-Encoding: chunked\r\n\r\n" + begin;
    plan.body_unit = unit;
    plan.body_bytes = bytes;
    return plan;
}

/** Plays a crowd and checks the process. */
void check_crowd(destination place,
                 const std::function<client_plan(int)>& plan_of, int size)
{
    constexpr std::chrono::milliseconds duration{5000};
    constexpr std::size_t max_resident_kb = limited_process::memory_mb * 1024;
    // The descriptors reserved for files are never used for connections.
    constexpr std::size_t max_open_descriptors =
        limited_process::max_descriptors - 200;

    limited_process process;
    BOOST_TEST_REQUIRE(process.answers_request());
    BOOST_TEST_MESSAGE("before the crowd: " << process.peak_resident_kb()
                                            << " KB");
    std::vector<client_plan> plans;
    plans.reserve(static_cast<std::size_t>(size));
    for (int index = 0; index < size; ++index)
        plans.push_back(plan_of(index));
    client_crowd crowd(process.address(),
                       place == destination::readiness
                           ? process.readiness_port()
                           : process.callers_port(),
                       plans);
    std::size_t open_descriptors = 0;
    crowd.play(duration,
               [&] {
                   open_descriptors =
                       std::max(open_descriptors, process.open_descriptors());
               });

    // The connections of the crowd are still open.
    BOOST_TEST(process.answers_request());
    BOOST_TEST(process.is_ready());
    BOOST_TEST_REQUIRE(process.is_running());
    BOOST_TEST_MESSAGE("with the crowd: " << process.peak_resident_kb()
                                          << " KB, " << open_descriptors
                                          << " descriptors");
    BOOST_TEST(process.peak_resident_kb() <= max_resident_kb);
    BOOST_TEST(open_descriptors <= max_open_descriptors);
}

} // namespace

BOOST_AUTO_TEST_SUITE(client_limits_test)

BOOST_DATA_TEST_CASE(whole_bodies_that_stop_one_byte_short,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place, [&](int) { return unfinished_body(place, 65536); }, 60);
}

BOOST_DATA_TEST_CASE(bodies_in_small_pieces_that_stop_one_byte_short,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place, [&](int) { return unfinished_body(place, 1460); }, 60);
}

// Also chunk extensions and trailers without end, which are not limited by
// max-body-bytes.
BOOST_DATA_TEST_CASE(chunked_bodies_of_single_bytes,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place,
        [&](int index)
        {
            if (index % 3 == 0)
                return chunked_body(place, "1;", "e", legal_body_bytes);
            if (index % 3 == 1)
                return chunked_body(place, "0\r\n", "t:\r\n", legal_body_bytes);
            return chunked_body(place, "", "1\r\nx\r\n", 1200000);
        },
        90);
}

BOOST_DATA_TEST_CASE(bodies_far_over_the_limit,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place,
        [&](int index)
        {
            if (index % 2 == 0)
                return chunked_body(
                    place, "", "10000\r\n" + std::string(65536, 'b') + "\r\n",
                    40000000);
            client_plan plan = unfinished_body(place, 65536);
            plan.head =
                request_start(place) + "Content-Length: 40000000\r\n\r\n";
            plan.body_bytes = 40000000;
            return plan;
        },
        60);
}

BOOST_DATA_TEST_CASE(very_many_short_fields,
                     boost::unit_test::data::make(destinations), place)
{
    // Together with the other fields slightly below max-header-bytes.
    constexpr int field_count = 3900;
    std::string fields;
    for (int count = 0; count < field_count; ++count)
        fields += "a:\r\n";
    check_crowd(
        place,
        [&](int)
        {
            client_plan plan;
            plan.head =
                request_start(place) + fields + "Content-Length: 2\r\n\r\n";
            plan.body_unit = "b";
            plan.body_bytes = 1;
            return plan;
        },
        300);
}

BOOST_DATA_TEST_CASE(pipelined_requests_without_reading,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place,
        [&](int)
        {
            client_plan plan;
            plan.body_unit =
                request_start(place) + "Content-Length: 5\r\n\r\norder";
            plan.body_bytes = 5000000;
            return plan;
        },
        100);
}

// More connections than descriptors. A third of the clients sends a head byte
// by byte, a third a body, and a third never reads its response.
BOOST_DATA_TEST_CASE(slow_senders_and_readers,
                     boost::unit_test::data::make(destinations), place)
{
    check_crowd(
        place,
        [&](int index)
        {
            client_plan plan;
            if (index % 3 == 2)
            {
                plan.head =
                    request_start(place) + "Content-Length: 5\r\n\r\norder";
                return plan;
            }
            plan.write_bytes = 1;
            plan.pause = std::chrono::milliseconds(50);
            if (index % 3 == 1)
            {
                plan = unfinished_body(place, 100);
                plan.pause = std::chrono::milliseconds(50);
                return plan;
            }
            plan.head = request_start(place);
            plan.body_unit = "a:\r\n";
            plan.body_bytes = 10000;
            return plan;
        },
        700);
}

BOOST_AUTO_TEST_SUITE_END()
