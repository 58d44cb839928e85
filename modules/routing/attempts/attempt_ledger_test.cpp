#include "routing/routing.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{};

ledger_request make_call(const std::string& id, bool idempotent)
{
    return {id, idempotent, start + std::chrono::seconds(10)};
}

/** A call that may not be repeated is run by a fake target when a byte of it
    arrives there and it does not refuse.
    @param planted_fault  the router does not tell the ledger that it sends
    @returns whether it ran at most once and its caller was told the truth */
bool is_run_at_most_once(std::uint64_t seed, bool planted_fault)
{
    std::mt19937_64 random(seed);
    attempt_ledger ledger;
    ledger.open(make_call("r", false));
    int runs = 0;
    call_outcome told = call_outcome::not_run;
    for (int attempt = 0; attempt < 6; ++attempt)
    {
        const std::string id = std::to_string(attempt);
        if (!ledger.begin("r", id, "t" + id, start))
            break;
        const bool sent = random() % 2 == 0;
        const bool refused = sent && random() % 2 == 0;
        attempt_completion how = attempt_completion::not_connected;
        if (sent)
        {
            if (!planted_fault)
                ledger.send_started(id);
            how = attempt_completion::timed_out;
            runs += refused || random() % 3 == 0 ? 0 : 1;
            if (refused && random() % 2 == 0)
                how = attempt_completion::refused;
        }
        told = ledger.end(id, how, start).outcome;
    }
    return runs <= 1 && (told != call_outcome::not_run || runs == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_ledger_test)

BOOST_AUTO_TEST_CASE(not_run_is_said_only_when_it_is_true)
{
    attempt_ledger ledger;
    ledger.open(make_call("r", false));
    BOOST_TEST(ledger.begin("r", "a1", "t1", start));
    const attempt_verdict unsent =
        ledger.end("a1", attempt_completion::timed_out, start);
    BOOST_TEST((unsent.outcome == call_outcome::not_run));
    BOOST_TEST(unsent.may_retry);

    BOOST_TEST(ledger.begin("r", "a2", "t2", start));
    ledger.send_started("a2");
    BOOST_TEST((ledger.current_outcome("r") == call_outcome::unknown));
    const attempt_verdict refused =
        ledger.end("a2", attempt_completion::refused, start);
    BOOST_TEST((refused.outcome == call_outcome::not_run));
    BOOST_TEST(refused.connection_reusable);

    BOOST_TEST(ledger.begin("r", "a3", "t3", start));
    ledger.send_started("a3");
    const attempt_verdict late =
        ledger.end("a3", attempt_completion::timed_out, start);
    BOOST_TEST((late.outcome == call_outcome::unknown));
    BOOST_TEST(!late.may_retry);
    BOOST_TEST(!late.connection_reusable);
    BOOST_TEST(!ledger.begin("r", "a4", "t4", start));
    BOOST_TEST(ledger.tried_targets("r").size() == 3);
}

BOOST_AUTO_TEST_CASE(only_what_has_not_begun_at_the_caller_is_sent_again)
{
    attempt_ledger ledger;
    ledger.open(make_call("r", true));
    ledger.begin("r", "a1", "t1", start);
    ledger.send_started("a1");
    BOOST_TEST(
        ledger.end("a1", attempt_completion::connection_lost, start).may_retry);
    ledger.begin("r", "a2", "t2", start);
    ledger.send_started("a2");
    ledger.response_started("r");
    const attempt_verdict broken =
        ledger.end("a2", attempt_completion::broken_stream, start);
    BOOST_TEST(!broken.may_retry);
    BOOST_TEST((broken.outcome == call_outcome::unknown));
}

BOOST_AUTO_TEST_CASE(nothing_is_sent_again_at_the_deadline)
{
    attempt_ledger ledger;
    ledger.open(make_call("r", true));
    ledger.begin("r", "a1", "t1", start);
    const time_point late = start + std::chrono::milliseconds(9960);
    BOOST_TEST(
        !ledger.end("a1", attempt_completion::not_connected, late).may_retry);
}

BOOST_AUTO_TEST_CASE(stray_answers_reach_nobody)
{
    attempt_ledger ledger;
    ledger.open(make_call("r", true));
    ledger.begin("r", "a1", "t1", start);
    ledger.send_started("a1");
    BOOST_TEST((ledger.check_echo("a1", "a1") == echo_check::matches));
    BOOST_TEST((ledger.check_echo("a1", "a0") == echo_check::unmatched));
    BOOST_TEST((ledger.check_echo("a1", "") == echo_check::unmatched));
    const attempt_verdict crossed =
        ledger.end("a1", attempt_completion::attempt_id_mismatch, start);
    BOOST_TEST(!crossed.connection_reusable);
    BOOST_TEST((crossed.outcome == call_outcome::unknown));
    // Its own answer, later.
    BOOST_TEST((ledger.check_echo("a1", "a1") == echo_check::unmatched));
    ledger.end("a1", attempt_completion::answered, start);
    BOOST_TEST((ledger.current_outcome("r") == call_outcome::unknown));
    BOOST_TEST(ledger.unmatched_response_count() == 2);
}

BOOST_AUTO_TEST_CASE(calls_that_may_not_be_repeated_run_at_most_once)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
        BOOST_TEST(is_run_at_most_once(seed, false));
}

BOOST_AUTO_TEST_CASE(a_router_that_does_not_say_that_it_sends_is_found)
{
    int found = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        found += is_run_at_most_once(seed, true) ? 0 : 1;
    BOOST_TEST(found > 0);
}

BOOST_AUTO_TEST_SUITE_END()
