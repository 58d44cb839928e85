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

/** Simulates a call that must not be repeated. A fake target runs the call when
    data arrives, unless it refuses. The check fails if the call runs more than
    once, or if `not_run` is reported for a call that ran.

    @param injected_fault whether the router fails to report to the ledger that
        it sends
    @returns true if the call ran at most once and the reported outcome is
        correct
*/
bool runs_at_most_once(std::uint64_t seed, bool injected_fault)
{
    std::mt19937_64 random(seed);
    attempt_ledger ledger;
    ledger.open(make_call("r", false));
    int runs = 0;
    call_outcome reported = call_outcome::not_run;
    for (int attempt = 0; attempt < 6; ++attempt)
    {
        const std::string id = std::to_string(attempt);
        if (!ledger.begin("r", id, "t" + id, start))
            break;
        const bool sent = random() % 2 == 0;
        const bool refused = sent && random() % 2 == 0;
        attempt_completion completion = attempt_completion::not_connected;
        if (sent)
        {
            if (!injected_fault)
                ledger.send_started(id);
            completion = attempt_completion::timed_out;
            runs += refused || random() % 3 == 0 ? 0 : 1;
            if (refused && random() % 2 == 0)
                completion = attempt_completion::refused;
        }
        reported = ledger.end(id, completion, start).outcome;
    }
    return runs <= 1 && (reported != call_outcome::not_run || runs == 0);
}

} // namespace

BOOST_AUTO_TEST_SUITE(attempt_ledger_test)

BOOST_AUTO_TEST_CASE(not_run_is_reported_only_if_true)
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

BOOST_AUTO_TEST_CASE(a_request_is_retried_only_before_its_response_starts)
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

BOOST_AUTO_TEST_CASE(no_retry_is_allowed_close_to_the_deadline)
{
    attempt_ledger ledger;
    ledger.open(make_call("r", true));
    ledger.begin("r", "a1", "t1", start);
    const time_point late = start + std::chrono::milliseconds(9960);
    BOOST_TEST(
        !ledger.end("a1", attempt_completion::not_connected, late).may_retry);
}

BOOST_AUTO_TEST_CASE(unmatched_responses_are_discarded)
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
    // The attempt's own response arrives after its completion.
    BOOST_TEST((ledger.check_echo("a1", "a1") == echo_check::unmatched));
    ledger.end("a1", attempt_completion::answered, start);
    BOOST_TEST((ledger.current_outcome("r") == call_outcome::unknown));
    BOOST_TEST(ledger.unmatched_response_count() == 2);
}

BOOST_AUTO_TEST_CASE(non_repeatable_calls_run_at_most_once)
{
    for (std::uint64_t seed = 1; seed <= 3000; ++seed)
        BOOST_TEST(runs_at_most_once(seed, false));
}

BOOST_AUTO_TEST_CASE(a_router_that_does_not_report_sending_is_detected)
{
    int violations = 0;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
        violations += runs_at_most_once(seed, true) ? 0 : 1;
    BOOST_TEST(violations > 0);
}

BOOST_AUTO_TEST_SUITE_END()
