#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

constexpr engine_capacity capacity{1000, 100, 0.75};

/** Returns the report, at a given second, of a router whose token rates change
    at the second `shift_second`. */
router_load_report report_at(int second, int shift_second)
{
    const std::uint64_t before =
        static_cast<std::uint64_t>(std::min(second, shift_second));
    const std::uint64_t after =
        static_cast<std::uint64_t>(std::max(0, second - shift_second));
    router_load_report report;
    report.router = "router-1";
    report.incarnation = 1;
    report.uptime = std::chrono::seconds(second);
    report.offered_requests = 10 * (before + after);
    report.offered_prefill_tokens = 1000 * before + 3000 * after;
    report.finished_requests = 10 * (before + after);
    report.decoded_tokens = 300 * before + 100 * after;
    return report;
}

time_point time_at(double second)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(second * 1e9));
}

} // namespace

BOOST_AUTO_TEST_SUITE(mix_estimator_test)

BOOST_AUTO_TEST_CASE(lost_late_and_repeated_reports_do_not_change_the_estimate)
{
    mix_estimator reliable_estimator;
    mix_estimator unreliable_estimator;
    std::mt19937 random(7);
    for (int second = 0; second <= 200; ++second)
    {
        reliable_estimator.on_report(report_at(second, 1000), time_at(second));
        if (random() % 3 == 0 && second != 200)
            continue;
        unreliable_estimator.on_report(report_at(second, 1000),
                                       time_at(second));
        unreliable_estimator.on_report(report_at(second, 1000),
                                       time_at(second));
        unreliable_estimator.on_report(report_at(std::max(0, second - 5), 1000),
                                       time_at(second));
    }
    const mix_estimate reliable_estimate =
        reliable_estimator.estimate(time_at(200));
    const mix_estimate unreliable_estimate =
        unreliable_estimator.estimate(time_at(200));
    BOOST_TEST(reliable_estimate.fast.prefill_tokens_per_second == 1000,
               boost::test_tools::tolerance(0.001));
    BOOST_TEST(unreliable_estimate.fast.prefill_tokens_per_second == 1000,
               boost::test_tools::tolerance(0.001));
    BOOST_TEST(unreliable_estimate.fast.decode_tokens_per_second == 300,
               boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(fast_mean_follows_a_shift_first)
{
    mix_estimator estimator;
    for (int second = 0; second <= 315; ++second)
        estimator.on_report(report_at(second, 300), time_at(second));
    const mix_estimate estimate = estimator.estimate(time_at(315));
    BOOST_TEST(estimate.prefill_share(capacity) > 0.65);
    BOOST_TEST(estimate.share_change(capacity) > 0.2);
    BOOST_TEST(estimate.confidence == 1.0);
}

// The counters of a router restart at zero with a new incarnation. Neither the
// restart nor a delayed report of the earlier incarnation may be read as a
// change of the demand.
BOOST_AUTO_TEST_CASE(router_restart_is_not_counted_as_a_drop_in_demand)
{
    mix_estimator estimator;
    for (int second = 0; second <= 100; ++second)
        estimator.on_report(report_at(second, 1000), time_at(second));
    for (int second = 0; second <= 20; ++second)
    {
        router_load_report report = report_at(second, 1000);
        report.incarnation = 2;
        estimator.on_report(report, time_at(101 + second));
    }
    estimator.on_report(report_at(99, 1000), time_at(122));
    BOOST_TEST(
        estimator.estimate(time_at(122)).fast.prefill_tokens_per_second == 1000,
        boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(silent_routers_lower_the_confidence_and_are_then_removed)
{
    mix_estimator estimator;
    for (int second = 0; second <= 90; ++second)
    {
        router_load_report report = report_at(second, 1000);
        estimator.on_report(report, time_at(second));
        report.router = "router-2";
        if (second < 20)
            estimator.on_report(report, time_at(second));
        if (second == 40)
            BOOST_TEST(estimator.estimate(time_at(second)).confidence == 0.5);
    }
    BOOST_TEST(estimator.estimate(time_at(90)).confidence == 1.0);
    BOOST_TEST(estimator.estimate(time_at(200)).confidence == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
