#include "peers/liveness/peer_liveness.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds step{100};
const liveness_limits limits{std::chrono::milliseconds(1000),
                             std::chrono::milliseconds(500),
                             std::chrono::milliseconds(5000)};

/** Counts what is due over a time, in steps. */
struct due_counts
{
    unsigned probes = 0;
    unsigned suspects = 0;
    unsigned give_ups = 0;
    unsigned idles = 0;
};

due_counts run_liveness(peer_liveness& liveness, time_point& now,
                        std::chrono::milliseconds duration)
{
    due_counts counts;
    const time_point end = now + duration;
    while (now < end && counts.give_ups == 0 && counts.idles == 0)
    {
        now += step;
        const liveness_action action = liveness.due(now);
        counts.probes += action == liveness_action::probe ? 1 : 0;
        counts.suspects += action == liveness_action::suspect ? 1 : 0;
        counts.give_ups += action == liveness_action::give_up ? 1 : 0;
        counts.idles += action == liveness_action::close_idle ? 1 : 0;
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(peer_liveness_test)

BOOST_AUTO_TEST_CASE(silence_after_a_message_is_found_within_its_bound)
{
    time_point now;
    peer_liveness liveness(limits, now);
    liveness.message_sent(now);
    const due_counts counts =
        run_liveness(liveness, now, std::chrono::milliseconds(5000));
    BOOST_TEST(counts.probes == 1U);
    BOOST_TEST(counts.suspects == 1U);
    BOOST_TEST(counts.give_ups == 1U);
    // probe_after, twice probe_limit, and a step for each look.
    BOOST_TEST((now <= time_point(std::chrono::milliseconds(2000) + 3 * step)));
}

BOOST_AUTO_TEST_CASE(going_on_sending_does_not_put_the_probe_off)
{
    time_point now;
    peer_liveness liveness(limits, now);
    unsigned give_ups = 0;
    for (unsigned round = 0; round < 30 && give_ups == 0; ++round)
    {
        liveness.message_sent(now);
        now += step;
        give_ups += liveness.due(now) == liveness_action::give_up ? 1 : 0;
    }
    BOOST_TEST(give_ups == 1U);
}

BOOST_AUTO_TEST_CASE(an_answer_in_time_ends_the_suspicion)
{
    time_point now;
    peer_liveness liveness(limits, now);
    liveness.message_sent(now);
    const due_counts before =
        run_liveness(liveness, now, std::chrono::milliseconds(1700));
    BOOST_TEST(before.suspects == 1U);
    BOOST_TEST(liveness.is_suspect());
    liveness.probe_answered(now);
    BOOST_TEST(!liveness.is_suspect());
    const due_counts after =
        run_liveness(liveness, now, std::chrono::milliseconds(2000));
    BOOST_TEST(after.probes == 0U);
    BOOST_TEST(after.give_ups == 0U);
}

BOOST_AUTO_TEST_CASE(a_quiet_connection_costs_nothing_and_ends)
{
    time_point now;
    peer_liveness quiet(limits, now);
    const due_counts counts =
        run_liveness(quiet, now, std::chrono::milliseconds(20000));
    BOOST_TEST(counts.probes == 0U);
    BOOST_TEST(counts.idles == 1U);

    peer_liveness maintained(limits, now);
    maintained.set_maintained(true);
    const due_counts kept =
        run_liveness(maintained, now, std::chrono::milliseconds(1200));
    BOOST_TEST(kept.probes == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
