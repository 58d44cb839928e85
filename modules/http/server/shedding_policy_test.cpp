#include "http/http.hpp"

#include <boost/test/unit_test.hpp>
#include <limits>

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

const time_point now = time_point(std::chrono::hours(1));
constexpr double fast = std::numeric_limits<double>::infinity();

connection_progress progress_of(connection_phase phase, std::size_t bytes,
                                milliseconds age, milliseconds pause)
{
    return {phase, bytes, now - age, now - pause};
}

const connection_progress stopped =
    progress_of(connection_phase::receiving, 3999999, milliseconds(5000),
                milliseconds(1500));
const connection_progress slow = progress_of(
    connection_phase::receiving, 100000, milliseconds(5000), milliseconds(10));
const connection_progress quick = progress_of(
    connection_phase::receiving, 3000000, milliseconds(2000), milliseconds(10));
const connection_progress handled = progress_of(
    connection_phase::handling, 10, milliseconds(9000), milliseconds(9000));
const connection_progress fresh = progress_of(
    connection_phase::receiving, 1, milliseconds(100), milliseconds(100));
const connection_progress trickling = progress_of(
    connection_phase::receiving, 100, milliseconds(5000), milliseconds(50));
const connection_progress idle = progress_of(
    connection_phase::idle, 0, milliseconds(8000), milliseconds(8000));
const connection_progress idle_longer = progress_of(
    connection_phase::idle, 0, milliseconds(9000), milliseconds(9000));

} // namespace

BOOST_AUTO_TEST_SUITE(shedding_policy_test)

// A body that stops one byte short has a high average rate, but no progress.
BOOST_AUTO_TEST_CASE(stopped_client_goes_first)
{
    BOOST_TEST(
        shedding_policy::select_for_memory({quick, slow, stopped}, fast, now)
            .value() == 2U);
}

BOOST_AUTO_TEST_CASE(unread_response_goes_like_an_unfinished_request)
{
    const connection_progress unread =
        progress_of(connection_phase::responding, 500000, milliseconds(3000),
                    milliseconds(2000));
    BOOST_TEST(
        shedding_policy::select_for_memory({slow, unread}, fast, now).value() ==
        1U);
}

BOOST_AUTO_TEST_CASE(slow_client_with_progress_is_kept_for_a_slower_one)
{
    BOOST_TEST(!shedding_policy::select_for_memory(
        {slow}, shedding_policy::rate(trickling, now), now));
}

// Guards against uploads on equal links that displace each other half-way.
BOOST_AUTO_TEST_CASE(client_of_about_the_same_speed_is_kept)
{
    const double speed = shedding_policy::rate(slow, now);
    BOOST_TEST(!shedding_policy::select_for_memory({slow}, 1.9 * speed, now));
    BOOST_TEST(
        shedding_policy::select_for_memory({slow}, 2.1 * speed, now).value() ==
        0U);
}

// A request that is handled may have run, and a fresh one cannot be judged.
BOOST_AUTO_TEST_CASE(handled_and_fresh_requests_are_never_dropped)
{
    BOOST_TEST(
        !shedding_policy::select_for_memory({handled, fresh, idle}, fast, now));
    BOOST_TEST(!shedding_policy::select_for_descriptor(
        {handled, fresh}, shedding_policy::grace, now));
}

// Guards against crowds that keep others out by sending a byte now and then.
BOOST_AUTO_TEST_CASE(descriptors_are_taken_from_trickling_then_idle_clients)
{
    BOOST_TEST(
        shedding_policy::select_for_descriptor(
            {quick, idle, idle_longer, trickling}, shedding_policy::grace, now)
            .value() == 3U);
    BOOST_TEST(shedding_policy::select_for_descriptor(
                   {quick, idle, idle_longer}, shedding_policy::grace, now)
                   .value() == 2U);
    BOOST_TEST(shedding_policy::select_for_descriptor(
                   {handled, quick, slow}, shedding_policy::grace, now)
                   .value() == 2U);
}

// Guards against a crowd of new connections that keeps out the readiness check.
BOOST_AUTO_TEST_CASE(fresh_connections_are_dropped_only_without_a_minimum_age)
{
    BOOST_TEST(!shedding_policy::select_for_descriptor(
        {fresh}, shedding_policy::grace, now));
    BOOST_TEST(shedding_policy::select_for_descriptor({handled, fresh},
                                                      milliseconds(0), now)
                   .value() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
