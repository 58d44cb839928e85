#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(fleet_retry_budget_test)

// The bound of the fleet: in any ten seconds, further sends of all hosts stay
// within the ratio times their requests plus the slack.
BOOST_AUTO_TEST_CASE(all_hosts_together_keep_the_bound_of_the_fleet)
{
    const fleet_retry_settings settings{0.2, 52,
                                        std::chrono::milliseconds(10000)};
    constexpr std::size_t hosts = 6;
    std::vector<fleet_retry_budget> budgets(hosts,
                                            fleet_retry_budget(settings));
    std::size_t requests = 0;
    std::size_t sends = 0;
    for (int moment = 0; moment < 9000; ++moment)
    {
        const time_point now{std::chrono::milliseconds(moment)};
        fleet_retry_budget& budget =
            budgets[static_cast<std::size_t>(moment) % hosts];
        budget.count_request(now);
        ++requests;
        while (budget.try_spend(now, hosts))
            ++sends;
        BOOST_REQUIRE(static_cast<double>(sends) <=
                      0.2 * static_cast<double>(requests) + 52);
    }
    BOOST_TEST(sends > requests / 10);
}

BOOST_AUTO_TEST_CASE(what_is_older_than_the_window_counts_no_more)
{
    fleet_retry_budget budget({0.2, 10, std::chrono::milliseconds(10000)});
    const time_point start{std::chrono::seconds(1)};
    std::size_t sends = 0;
    while (budget.try_spend(start, 1))
        ++sends;
    BOOST_TEST(sends == 7U);
    BOOST_TEST(!budget.try_spend(start + std::chrono::seconds(9), 1));
    BOOST_TEST(budget.try_spend(start + std::chrono::seconds(11), 1));
}

BOOST_AUTO_TEST_CASE(many_hosts_leave_each_less_than_one_send)
{
    fleet_retry_budget budget({0.2, 50, std::chrono::milliseconds(10000)});
    const time_point now{std::chrono::seconds(1)};
    BOOST_TEST(!budget.try_spend(now, 84));
    for (int request = 0; request < 10; ++request)
        budget.count_request(now);
    BOOST_TEST(budget.try_spend(now, 84));
}

BOOST_AUTO_TEST_SUITE_END()
