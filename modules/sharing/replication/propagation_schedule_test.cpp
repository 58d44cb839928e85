#include "sharing/sharing.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

const std::vector<int> times{500, 1000, 2000, 3000, 10000};
const std::vector<propagation_shares> all_shares{
    propagation_schedule::watched_table, propagation_schedule::polled_table};

/** For the last read, its processing and the requests that are read meanwhile.
 */
constexpr int reserve_percent = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(propagation_schedule_test)

BOOST_DATA_TEST_CASE(all_steps_fit_in_the_time_together,
                     boost::unit_test::data::make(times), time)
{
    for (const propagation_shares& shares : all_shares)
    {
        const propagation_schedule schedule =
            propagation_schedule::divide(milliseconds(time), shares);
        BOOST_TEST(schedule.longest_delay().count() <=
                   time * (100 - reserve_percent) / 100);
    }
}

BOOST_DATA_TEST_CASE(what_the_steps_leave_is_for_the_transfer,
                     boost::unit_test::data::make(times), time)
{
    const propagation_schedule schedule = propagation_schedule::divide(
        milliseconds(time), propagation_schedule::watched_table);
    BOOST_TEST(
        (schedule.longest_delay() + schedule.max_transfer_time()).count() ==
        time);
}

// Otherwise hosts read the store although their relay has only just done so.
BOOST_DATA_TEST_CASE(a_relay_that_waits_is_not_too_old,
                     boost::unit_test::data::make(times), time)
{
    for (const propagation_shares& shares : all_shares)
    {
        const propagation_schedule schedule =
            propagation_schedule::divide(milliseconds(time), shares);
        BOOST_TEST((schedule.relay_interval() + schedule.response_delay() <
                    schedule.max_age()));
    }
}

BOOST_AUTO_TEST_CASE(a_read_waits_for_as_long_as_the_replica_is_recent)
{
    const propagation_schedule schedule = propagation_schedule::of(
        milliseconds(600), milliseconds(900), milliseconds(100));
    BOOST_TEST((schedule.max_wait(milliseconds(0)) == milliseconds(600)));
    BOOST_TEST((schedule.max_wait(milliseconds(250)) == milliseconds(350)));
    BOOST_TEST((schedule.max_wait(milliseconds(600)) == milliseconds(0)));
    BOOST_TEST((schedule.max_wait(milliseconds(5000)) == milliseconds(0)));
}

BOOST_AUTO_TEST_CASE(a_time_of_zero_does_not_lead_to_reads_without_pause)
{
    const propagation_schedule schedule = propagation_schedule::divide(
        milliseconds(0), propagation_schedule::watched_table);
    BOOST_TEST((schedule.relay_interval() >= milliseconds(50)));
    BOOST_TEST((schedule.response_delay() > milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
