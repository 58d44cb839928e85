#include "authority/authority.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(fence_raiser_test)

BOOST_AUTO_TEST_CASE(decisions_wait_until_all_targets_confirm)
{
    time_point now;
    fence_raiser fence(7, fence_settings(), now);
    fence.set_targets({"t1", "t2"}, now);
    BOOST_TEST(fence.tick(now).size() == 2U);
    BOOST_TEST(fence.tick(now).empty());
    fence.confirmed("t1", 7);
    fence.failed("t2", now);
    BOOST_TEST(fence.is_raised("t1"));
    BOOST_TEST(!fence.can_issue_orders(now));
    now += milliseconds(250);
    BOOST_TEST(fence.tick(now).size() == 1U);
    fence.confirmed("t2", 7);
    BOOST_TEST(fence.can_issue_orders(now));
}

BOOST_AUTO_TEST_CASE(an_unreachable_target_blocks_only_itself)
{
    time_point now;
    fence_raiser fence(7, fence_settings(), now);
    fence.set_targets({"t1", "t2"}, now);
    fence.confirmed("t1", 7);
    now += seconds(10);
    BOOST_TEST(fence.can_issue_orders(now));
    BOOST_TEST(!fence.is_raised("t2"));
    fence.set_targets({"t1"}, now);
    BOOST_TEST(fence.unconfirmed_targets().empty());
}

BOOST_AUTO_TEST_CASE(a_greater_number_supersedes_the_holder)
{
    time_point now;
    fence_raiser fence(7, fence_settings(), now);
    fence.set_targets({"t1"}, now);
    fence.confirmed("t1", 8);
    BOOST_TEST(fence.is_superseded());
    BOOST_TEST(!fence.is_raised("t1"));
    BOOST_TEST(!fence.can_issue_orders(now + seconds(60)));
}

BOOST_AUTO_TEST_CASE(a_restarted_target_is_raised_again)
{
    time_point now;
    fence_raiser fence(7, fence_settings(), now);
    fence.set_targets({"t1"}, now);
    fence.tick(now);
    fence.confirmed("t1", 7);
    fence.target_restarted("t1", now);
    BOOST_TEST(!fence.is_raised("t1"));
    BOOST_TEST(fence.tick(now).size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
