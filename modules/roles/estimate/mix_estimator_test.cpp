#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

constexpr engine_capacity capacity{1000, 100, 0.75};

/** The counts of a router whose rates change at a given second. */
router_load_report counts_at(int second, int shift_at)
{
    const std::uint64_t before =
        static_cast<std::uint64_t>(std::min(second, shift_at));
    const std::uint64_t after =
        static_cast<std::uint64_t>(std::max(0, second - shift_at));
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

time_point at(double second)
{
    return time_point(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(second * 1e9));
}

} // namespace

BOOST_AUTO_TEST_SUITE(mix_estimator_test)

BOOST_AUTO_TEST_CASE(lost_late_and_repeated_reports_change_nothing)
{
    mix_estimator whole;
    mix_estimator faulty;
    std::mt19937 random(7);
    for (int second = 0; second <= 200; ++second)
    {
        whole.on_report(counts_at(second, 1000), at(second));
        if (random() % 3 == 0 && second != 200)
            continue;
        faulty.on_report(counts_at(second, 1000), at(second));
        faulty.on_report(counts_at(second, 1000), at(second));
        faulty.on_report(counts_at(std::max(0, second - 5), 1000), at(second));
    }
    const mix_estimate expected = whole.estimate(at(200));
    const mix_estimate found = faulty.estimate(at(200));
    BOOST_TEST(expected.fast.prefill_tokens_per_second == 1000,
               boost::test_tools::tolerance(0.001));
    BOOST_TEST(found.fast.prefill_tokens_per_second == 1000,
               boost::test_tools::tolerance(0.001));
    BOOST_TEST(found.fast.decode_tokens_per_second == 300,
               boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(a_shift_shows_in_the_fast_mean_first)
{
    mix_estimator estimator;
    for (int second = 0; second <= 315; ++second)
        estimator.on_report(counts_at(second, 300), at(second));
    const mix_estimate estimate = estimator.estimate(at(315));
    BOOST_TEST(estimate.prefill_share(capacity) > 0.65);
    BOOST_TEST(estimate.share_change(capacity) > 0.2);
    BOOST_TEST(estimate.confidence == 1.0);
}

BOOST_AUTO_TEST_CASE(a_restarted_router_is_not_taken_for_a_drop)
{
    mix_estimator estimator;
    for (int second = 0; second <= 100; ++second)
        estimator.on_report(counts_at(second, 1000), at(second));
    for (int second = 0; second <= 20; ++second)
    {
        router_load_report report = counts_at(second, 1000);
        report.incarnation = 2;
        estimator.on_report(report, at(101 + second));
    }
    estimator.on_report(counts_at(99, 1000), at(122));
    BOOST_TEST(estimator.estimate(at(122)).fast.prefill_tokens_per_second ==
                   1000,
               boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(silent_routers_lower_the_confidence_then_are_forgotten)
{
    mix_estimator estimator;
    for (int second = 0; second <= 90; ++second)
    {
        router_load_report report = counts_at(second, 1000);
        estimator.on_report(report, at(second));
        report.router = "router-2";
        if (second < 20)
            estimator.on_report(report, at(second));
        if (second == 40)
            BOOST_TEST(estimator.estimate(at(second)).confidence == 0.5);
    }
    BOOST_TEST(estimator.estimate(at(90)).confidence == 1.0);
    BOOST_TEST(estimator.estimate(at(200)).confidence == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
