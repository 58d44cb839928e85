#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point start{std::chrono::seconds(10)};

void observe(observed_delay& delay, int count, int delay_ms)
{
    for (int index = 0; index < count; ++index)
        delay.add(20, std::chrono::milliseconds(20 + delay_ms),
                  std::chrono::milliseconds(150), start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(observed_delay_test)

BOOST_AUTO_TEST_CASE(without_observations_the_expected_delay_is_zero)
{
    const observed_delay empty;
    BOOST_TEST(empty.expected_ms(empty, 0, 0, start) == 0);
}

BOOST_AUTO_TEST_CASE(delays_reported_by_other_hosts_outweigh_the_stage)
{
    const observed_delay target_delay;
    observed_delay stage;
    observe(stage, 100, 10);
    const double without_remote_reports =
        target_delay.expected_ms(stage, 0, 0, start);
    BOOST_TEST(without_remote_reports == 10,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(target_delay.expected_ms(stage, 57, 57 * 100, start) > 90);
}

// Without decay, a stage whose observed delay rules out every request would
// receive no request that could show that it has recovered.
BOOST_AUTO_TEST_CASE(the_observed_delay_decays)
{
    observed_delay stage;
    observe(stage, 100, 400);
    const observed_delay target_delay;
    BOOST_TEST(target_delay.expected_ms(stage, 0, 0, start) > 300);
    BOOST_TEST(target_delay.expected_ms(stage, 0, 0,
                                        start + std::chrono::seconds(6)) < 30);
}

BOOST_AUTO_TEST_CASE(a_single_hanging_exchange_has_limited_influence)
{
    observed_delay delay;
    observe(delay, 20, 0);
    observe(delay, 1, 60000);
    BOOST_TEST(delay.mean_ms(start) <= 60);
}

BOOST_AUTO_TEST_SUITE_END()
