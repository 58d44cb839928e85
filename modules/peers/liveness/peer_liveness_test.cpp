#include "peers/liveness/peer_liveness.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds tick{100};
const liveness_timeouts timeouts{std::chrono::milliseconds(1000),
                                 std::chrono::milliseconds(500),
                                 std::chrono::milliseconds(5000)};

/** Number of actions of each kind over a period. */
struct action_counts
{
    unsigned probes = 0;
    unsigned suspects = 0;
    unsigned unresponsive_closes = 0;
    unsigned idle_closes = 0;
};

action_counts run_liveness(peer_liveness& liveness, time_point& now,
                           std::chrono::milliseconds duration)
{
    action_counts counts;
    const time_point end = now + duration;
    while (now < end && counts.unresponsive_closes == 0 &&
           counts.idle_closes == 0)
    {
        now += tick;
        const liveness_action action = liveness.next_action(now);
        counts.probes += action == liveness_action::probe ? 1 : 0;
        counts.suspects += action == liveness_action::suspect ? 1 : 0;
        counts.unresponsive_closes +=
            action == liveness_action::close_unresponsive ? 1 : 0;
        counts.idle_closes += action == liveness_action::close_idle ? 1 : 0;
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_liveness_test)

BOOST_AUTO_TEST_CASE(an_unresponsive_peer_is_closed_within_the_timeouts)
{
    time_point now;
    peer_liveness liveness(timeouts, now);
    liveness.message_sent(now);
    const action_counts counts =
        run_liveness(liveness, now, std::chrono::milliseconds(5000));
    BOOST_TEST(counts.probes == 1U);
    BOOST_TEST(counts.suspects == 1U);
    BOOST_TEST(counts.unresponsive_closes == 1U);
    // probe_delay and twice probe_timeout, plus one tick for each check.
    BOOST_TEST((now <= time_point(std::chrono::milliseconds(2000) + 3 * tick)));
}

BOOST_AUTO_TEST_CASE(further_messages_do_not_postpone_the_probe)
{
    time_point now;
    peer_liveness liveness(timeouts, now);
    unsigned unresponsive_closes = 0;
    for (unsigned round = 0; round < 30 && unresponsive_closes == 0; ++round)
    {
        liveness.message_sent(now);
        now += tick;
        unresponsive_closes +=
            liveness.next_action(now) == liveness_action::close_unresponsive
                ? 1
                : 0;
    }
    BOOST_TEST(unresponsive_closes == 1U);
}

BOOST_AUTO_TEST_CASE(a_probe_response_clears_the_suspicion)
{
    time_point now;
    peer_liveness liveness(timeouts, now);
    liveness.message_sent(now);
    const action_counts before =
        run_liveness(liveness, now, std::chrono::milliseconds(1700));
    BOOST_TEST(before.suspects == 1U);
    BOOST_TEST(liveness.is_suspect());
    liveness.probe_response_received(now);
    BOOST_TEST(!liveness.is_suspect());
    const action_counts after =
        run_liveness(liveness, now, std::chrono::milliseconds(2000));
    BOOST_TEST(after.probes == 0U);
    BOOST_TEST(after.unresponsive_closes == 0U);
}

BOOST_AUTO_TEST_CASE(an_idle_connection_is_closed_without_probes)
{
    time_point now;
    peer_liveness unmaintained(timeouts, now);
    const action_counts counts =
        run_liveness(unmaintained, now, std::chrono::milliseconds(20000));
    BOOST_TEST(counts.probes == 0U);
    BOOST_TEST(counts.idle_closes == 1U);

    peer_liveness maintained(timeouts, now);
    maintained.set_maintained(true);
    const action_counts maintained_counts =
        run_liveness(maintained, now, std::chrono::milliseconds(1200));
    BOOST_TEST(maintained_counts.probes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
