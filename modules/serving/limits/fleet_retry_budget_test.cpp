#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(fleet_retry_budget_test)

// The limit of the fleet holds without communication between hosts: in any ten
// seconds, the retries of all hosts stay within the ratio times their requests
// plus the slack.
BOOST_AUTO_TEST_CASE(all_hosts_together_stay_within_the_limit_of_the_fleet)
{
    const fleet_retry_settings settings{0.2, 52,
                                        std::chrono::milliseconds(10000)};
    constexpr std::size_t hosts = 6;
    std::vector<fleet_retry_budget> budgets(hosts,
                                            fleet_retry_budget(settings));
    std::size_t requests = 0;
    std::size_t retries = 0;
    for (int elapsed_ms = 0; elapsed_ms < 9000; ++elapsed_ms)
    {
        const time_point now{std::chrono::milliseconds(elapsed_ms)};
        fleet_retry_budget& budget =
            budgets[static_cast<std::size_t>(elapsed_ms) % hosts];
        budget.count_request(now);
        ++requests;
        while (budget.try_spend(now, hosts))
            ++retries;
        BOOST_REQUIRE(static_cast<double>(retries) <=
                      0.2 * static_cast<double>(requests) + 52);
    }
    BOOST_TEST(retries > requests / 10);
}

BOOST_AUTO_TEST_CASE(events_older_than_the_window_are_not_counted)
{
    fleet_retry_budget budget({0.2, 10, std::chrono::milliseconds(10000)});
    const time_point start{std::chrono::seconds(1)};
    std::size_t retries = 0;
    while (budget.try_spend(start, 1))
        ++retries;
    BOOST_TEST(retries == 7U);
    BOOST_TEST(!budget.try_spend(start + std::chrono::seconds(9), 1));
    BOOST_TEST(budget.try_spend(start + std::chrono::seconds(11), 1));
}

BOOST_AUTO_TEST_CASE(a_share_of_less_than_one_retry_allows_none)
{
    fleet_retry_budget budget({0.2, 50, std::chrono::milliseconds(10000)});
    const time_point now{std::chrono::seconds(1)};
    BOOST_TEST(!budget.try_spend(now, 84));
    for (int request = 0; request < 10; ++request)
        budget.count_request(now);
    BOOST_TEST(budget.try_spend(now, 84));
}

BOOST_AUTO_TEST_SUITE_END()
