#include "routing/routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{};
constexpr connection_limits limits{};

/** Calls tick() until the connection requests an action.

    @param now advanced to the time of the action
    @returns the action
*/
connection_action run_until_action(connection_health& health, time_point& now)
{
    for (int step = 0; step < 1000; ++step)
    {
        const connection_action action = health.tick(now);
        if (action != connection_action::none)
            return action;
        now += std::chrono::milliseconds(10);
    }
    return connection_action::none;
}

} // namespace

BOOST_AUTO_TEST_SUITE(connection_health_test)

BOOST_AUTO_TEST_CASE(a_silent_connection_is_replaced_without_failing_the_target)
{
    time_point now = start;
    connection_health health(limits, now);
    BOOST_TEST((run_until_action(health, now) == connection_action::probe));
    BOOST_TEST(!health.is_reusable(now));
    BOOST_TEST((run_until_action(health, now) ==
                connection_action::probe_new_connection));
    BOOST_TEST((now - start <= std::chrono::milliseconds(3010)));
    health.new_connection_probed(true, now);
    BOOST_TEST((run_until_action(health, now) == connection_action::replace));
    BOOST_TEST(health.must_close());
    BOOST_TEST(!health.is_reusable(now));
}

BOOST_AUTO_TEST_CASE(a_target_fails_only_if_a_new_connection_fails_too)
{
    time_point now = start;
    connection_health health(limits, now);
    health.exchange_started(now);
    health.received(true, now);
    BOOST_TEST((run_until_action(health, now) ==
                connection_action::probe_new_connection));
    BOOST_TEST((run_until_action(health, now) ==
                connection_action::mark_target_failed));
}

BOOST_AUTO_TEST_CASE(a_stream_that_continues_is_not_replaced)
{
    time_point now = start;
    connection_health health(limits, now);
    health.exchange_started(now);
    health.received(true, now);
    BOOST_TEST((run_until_action(health, now) ==
                connection_action::probe_new_connection));
    health.received(true, now);
    BOOST_TEST((health.tick(now) == connection_action::none));
    health.new_connection_probed(true, now);
    BOOST_TEST((health.tick(now) == connection_action::none));
    health.exchange_finished(now);
    BOOST_TEST(health.is_reusable(now));
}

BOOST_AUTO_TEST_CASE(an_abandoned_exchange_makes_the_connection_unusable)
{
    connection_health health(limits, start);
    health.exchange_started(start);
    health.exchange_abandoned();
    health.received(false, start);
    health.exchange_finished(start);
    BOOST_TEST(!health.is_reusable(start));
    BOOST_TEST(health.must_close());
}

BOOST_AUTO_TEST_CASE(successful_probes_keep_an_idle_connection)
{
    time_point now = start;
    connection_health health(limits, now);
    for (int round = 0; round < 20; ++round)
    {
        BOOST_TEST((run_until_action(health, now) == connection_action::probe));
        health.received(false, now);
        health.exchange_finished(now);
        BOOST_TEST(health.is_reusable(now));
    }
}

BOOST_AUTO_TEST_SUITE_END()
