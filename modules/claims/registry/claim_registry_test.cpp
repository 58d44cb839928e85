#include "claims/claims.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point registry_start{std::chrono::hours(1)};

claim_call call_of(const std::string& id, bool has_status_path = false)
{
    claim_call call;
    call.call_id = id;
    call.name = {"order-desk", "school", "key/1"};
    call.body_digest = "digest";
    call.deadline = registry_start + std::chrono::seconds(10);
    call.has_status_path = has_status_path;
    return call;
}

/** @returns the first action of a type; the test fails if there is none */
template <class Action>
Action first_of(const std::vector<claim_action>& actions)
{
    for (const claim_action& action : actions)
    {
        if (const Action* first_match = std::get_if<Action>(&action))
            return *first_match;
    }
    BOOST_FAIL("no such action");
    return {};
}

/** Commits an update to a table and reports the outcome to the registry. */
std::vector<claim_action> commit_to(memory_table& table,
                                    claim_registry& registry,
                                    const update_claim& requested,
                                    time_point now)
{
    const row_update& update = requested.update;
    table_transaction transaction{
        update.id, {{update.key, update.version}}, update.index_writes};
    transaction.writes.push_back({update.key, update.value});
    const commit_receipt receipt = table.commit(transaction);
    update_outcome outcome{
        update.id, update_result::committed, receipt.version, {}};
    if (!receipt.committed)
    {
        outcome.result = update_result::conflicted;
        outcome.present = receipt.conflicts.front();
    }
    return registry.update_completed(outcome, now);
}

std::vector<claim_action> arrive_at(memory_table& table,
                                    claim_registry& registry,
                                    const claim_call& call,
                                    time_point now = registry_start)
{
    return commit_to(table, registry,
                     first_of<update_claim>(registry.call_received(call, now)),
                     now);
}

} // namespace

BOOST_AUTO_TEST_SUITE(claim_registry_test)

BOOST_AUTO_TEST_CASE(
    a_call_starts_after_its_claim_and_is_replayed_on_other_hosts)
{
    memory_table table;
    claim_registry first("p1", claim_limits());
    claim_registry second("p2", claim_limits());
    const std::vector<claim_action> arrived =
        first.call_received(call_of("c1"), registry_start);
    BOOST_TEST(arrived.size() == 1U);
    const update_claim claim = first_of<update_claim>(arrived);
    first_of<start_call>(commit_to(table, first, claim, registry_start));

    BOOST_TEST((first_of<call_response>(arrive_at(table, second, call_of("c2")))
                    .verdict == claim_verdict::in_progress));
    stored_response answer;
    answer.status = 201;
    answer.body = std::string("\0\xff%\"", 4);
    const std::vector<claim_action> answered =
        first.call_completed("c1", answer, registry_start);
    BOOST_TEST(first_of<call_response>(answered).answer.body == answer.body);
    commit_to(table, first, first_of<update_claim>(answered), registry_start);
    BOOST_TEST(first.calls_in_flight() == 0U);

    claim_registry third("p3", claim_limits());
    const call_response replay =
        first_of<call_response>(arrive_at(table, third, call_of("c3")));
    BOOST_TEST((replay.verdict == claim_verdict::answered));
    BOOST_TEST(replay.answer.body == answer.body);
    BOOST_TEST(table.scan(open_claim_prefix, "", 1).empty());
}

BOOST_AUTO_TEST_CASE(a_key_with_another_body_is_an_error)
{
    memory_table table;
    claim_registry first("p1", claim_limits());
    claim_registry second("p2", claim_limits());
    arrive_at(table, first, call_of("c1"));
    claim_call other = call_of("c2");
    other.body_digest = "another";
    BOOST_TEST(
        (first_of<call_response>(first.call_received(other, registry_start))
             .verdict == claim_verdict::key_reused));
    BOOST_TEST(
        (first_of<call_response>(arrive_at(table, second, other)).verdict ==
         claim_verdict::key_reused));
}

BOOST_AUTO_TEST_CASE(a_claim_in_flight_at_the_deadline_is_unknown)
{
    memory_table table;
    claim_registry registry("p1", claim_limits());
    const update_claim claim = first_of<update_claim>(
        registry.call_received(call_of("c1"), registry_start));
    const time_point deadline = call_of("c1").deadline;
    BOOST_TEST((first_of<call_response>(registry.tick(deadline)).verdict ==
                claim_verdict::unknown));
    // The claim is committed after all. It is released and not started.
    const std::vector<claim_action> late =
        commit_to(table, registry, claim, deadline);
    BOOST_TEST(late.size() == 1U);
    commit_to(table, registry, first_of<update_claim>(late), deadline);
    claim_registry other("p2", claim_limits());
    claim_call again = call_of("c2");
    again.deadline = deadline + std::chrono::seconds(5);
    const std::vector<claim_action> restarted =
        arrive_at(table, other, again, deadline);
    first_of<start_call>(
        commit_to(table, other, first_of<update_claim>(restarted), deadline));
}

BOOST_AUTO_TEST_CASE(the_claim_of_a_lost_owner_is_listed_and_not_run_again)
{
    memory_table table;
    claim_registry lost_owner("p1", claim_limits());
    arrive_at(table, lost_owner, call_of("c1"));
    claim_registry other("p2", claim_limits());
    arrive_at(table, other, call_of("c2"));
    const read_claim read =
        first_of<read_claim>(other.owner_terminated("p1", registry_start));
    const std::vector<claim_action> marked =
        other.row_read(read.row_key, table.read(read.row_key), registry_start);
    commit_to(table, other, first_of<update_claim>(marked), registry_start);
    BOOST_TEST(table.scan(unresolved_prefix, "", 9).size() == 1U);
    BOOST_TEST((first_of<call_response>(arrive_at(table, other, call_of("c3")))
                    .verdict == claim_verdict::unknown));
}

BOOST_AUTO_TEST_CASE(a_sweep_settles_claims_that_no_caller_retries)
{
    memory_table table;
    claim_registry lost_owner("p1", claim_limits());
    arrive_at(table, lost_owner, call_of("c1", true));
    claim_registry sweeper("p2", claim_limits());
    const scan_claims scan =
        first_of<scan_claims>(sweeper.begin_sweep(registry_start));
    sweeper.rows_scanned(scan.prefix, table.scan(scan.prefix, "", scan.limit),
                         registry_start);
    const time_point limit = sweeper.next_wake();
    BOOST_TEST((limit >= call_of("c1").deadline));
    const read_claim read = first_of<read_claim>(sweeper.tick(limit));
    first_of<query_call_status>(
        sweeper.row_read(read.row_key, table.read(read.row_key), limit));
    const std::vector<claim_action> barred = sweeper.call_status_received(
        read.row_key, call_status::absent, {}, limit);
    commit_to(table, sweeper, first_of<update_claim>(barred), limit);
    claim_call again = call_of("c2", true);
    again.deadline = limit + std::chrono::seconds(5);
    BOOST_TEST((first_of<call_response>(arrive_at(table, sweeper, again, limit))
                    .verdict == claim_verdict::barred));
}

BOOST_AUTO_TEST_CASE(expiry_keeps_a_claim_that_was_updated)
{
    memory_table table;
    const std::string old_key =
        expiry_key(std::chrono::seconds(60), "claims/a");
    const std::string kept_key =
        expiry_key(std::chrono::seconds(60), "claims/b");
    table.commit({"1", {}, {{"claims/a", "x"}, {old_key, ""}}});
    table.commit({"2", {}, {{"claims/b", "x"}, {kept_key, ""}}});
    table.commit({"3", {}, {{"claims/b", "claimed again"}}});
    const claim_expiry expiry(std::chrono::hours(24));
    const std::vector<table_row> page = table.scan(expiry_prefix, "", 10);
    BOOST_TEST(!expiry.deletions(page, std::chrono::hours(24)).has_value());
    const table_transaction all =
        expiry.deletions(page, std::chrono::hours(25)).value();
    const commit_receipt receipt = table.commit(all);
    BOOST_TEST(!receipt.committed);
    table.commit(claim_expiry::remaining(all, receipt).value());
    BOOST_TEST(!table.read("claims/a").has_value());
    BOOST_TEST(table.read("claims/b").has_value());
    BOOST_TEST(table.scan(expiry_prefix, "", 1).empty());
}

BOOST_AUTO_TEST_SUITE_END()
