#include "gateway/gateway.hpp"

#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

const std::vector<int> grace_periods{200, 1000, 2000, 3000, 8000, 60000};

} // namespace

BOOST_AUTO_TEST_SUITE(stop_schedule_test)

BOOST_DATA_TEST_CASE(requests_are_refused_before_they_would_be_cut_off,
                     boost::unit_test::data::make(grace_periods), grace_ms)
{
    const stop_schedule schedule =
        stop_schedule::divide(milliseconds(grace_ms));
    BOOST_TEST(schedule.refuse_after().count() <= grace_ms / 3);
    BOOST_TEST((schedule.refuse_after() < schedule.close_idle_after()));
    BOOST_TEST((schedule.close_idle_after() < schedule.last_deadline()));
    BOOST_TEST((schedule.last_deadline() < schedule.end_after()));
    BOOST_TEST(schedule.end_after().count() < grace_ms);
}

BOOST_AUTO_TEST_CASE(a_long_grace_period_does_not_delay_the_steps)
{
    const stop_schedule schedule = stop_schedule::divide(milliseconds(60000));
    BOOST_TEST((schedule.refuse_after() == milliseconds(2600)));
    BOOST_TEST((schedule.close_idle_after() == milliseconds(4200)));
    BOOST_TEST((schedule.end_after() == milliseconds(59500)));
}

BOOST_AUTO_TEST_CASE(no_grace_period_ends_at_once)
{
    const stop_schedule schedule = stop_schedule::divide(milliseconds(0));
    BOOST_TEST((schedule.end_after() == milliseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()
