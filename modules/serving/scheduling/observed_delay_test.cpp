#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point start{std::chrono::seconds(10)};

void observe(observed_delay& delay, int times, int delay_ms)
{
    for (int time = 0; time < times; ++time)
        delay.add(20, std::chrono::milliseconds(20 + delay_ms), start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(observed_delay_test)

BOOST_AUTO_TEST_CASE(nothing_observed_is_no_delay)
{
    const observed_delay none;
    BOOST_TEST(none.expected_ms(none, 0, 0, start) == 0);
}

BOOST_AUTO_TEST_CASE(what_others_saw_of_an_engine_outweighs_its_stage)
{
    const observed_delay own;
    observed_delay stage;
    observe(stage, 100, 10);
    const double alone = own.expected_ms(stage, 0, 0, start);
    BOOST_TEST(alone == 10, boost::test_tools::tolerance(0.01));
    BOOST_TEST(own.expected_ms(stage, 57, 57 * 100, start) > 90);
}

// Otherwise a stage that was found too slow for anything would get no request
// that could show that it is fast again.
BOOST_AUTO_TEST_CASE(what_was_learned_fades)
{
    observed_delay stage;
    observe(stage, 100, 400);
    const observed_delay own;
    BOOST_TEST(own.expected_ms(stage, 0, 0, start) > 300);
    BOOST_TEST(own.expected_ms(stage, 0, 0, start + std::chrono::seconds(6)) <
               30);
}

BOOST_AUTO_TEST_CASE(one_exchange_that_hangs_says_little)
{
    observed_delay delay;
    observe(delay, 20, 0);
    observe(delay, 1, 60000);
    BOOST_TEST(delay.mean_ms(start) <= 60);
}

BOOST_AUTO_TEST_SUITE_END()
