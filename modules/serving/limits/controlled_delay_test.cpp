#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds objective{120};
constexpr std::chrono::milliseconds burst_wait{60};
constexpr std::chrono::milliseconds overload_wait{20};

controlled_delay delay_with_objective()
{
    controlled_delay delay;
    delay.set_latency_objective(objective);
    return delay;
}

const time_point start{std::chrono::hours(1)};

} // namespace

BOOST_AUTO_TEST_SUITE(controlled_delay_test)

BOOST_AUTO_TEST_CASE(burst_waits_for_up_to_half_of_the_objective)
{
    controlled_delay delay = delay_with_objective();
    delay.record_empty_queue(start);
    const time_point now = start + burst_wait;
    BOOST_TEST(delay.admits(burst_wait, now));
    BOOST_TEST(!delay.admits(burst_wait + std::chrono::milliseconds(1), now));
}

BOOST_AUTO_TEST_CASE(lasting_queue_shortens_the_wait)
{
    controlled_delay delay = delay_with_objective();
    delay.record_empty_queue(start);
    const time_point now = start + std::chrono::milliseconds(61);
    BOOST_TEST(delay.admits(overload_wait, now));
    BOOST_TEST(
        !delay.admits(overload_wait + std::chrono::milliseconds(1), now));
    delay.record_empty_queue(now);
    BOOST_TEST(delay.admits(burst_wait, now));
}

BOOST_AUTO_TEST_CASE(nothing_is_refused_without_an_objective)
{
    const controlled_delay delay;
    BOOST_TEST(delay.admits(std::chrono::seconds(10), start));
}

BOOST_AUTO_TEST_CASE(very_short_objective_does_not_refuse_everything)
{
    controlled_delay delay;
    delay.set_latency_objective(std::chrono::milliseconds(1));
    BOOST_TEST(delay.admits(std::chrono::milliseconds(10), start));
}

BOOST_AUTO_TEST_SUITE_END()
