#include "claims/claims.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point batcher_start{std::chrono::hours(1)};
const time_point batcher_due = batcher_start + batch_limits().interval;

row_update update_of(const std::string& id, const std::string& key)
{
    row_update update;
    update.id = id;
    update.key = key;
    update.value = row_stamp::successor("", id, "value");
    update.abandon_at = batcher_start + std::chrono::seconds(2);
    return update;
}

const batch_step& step_of(const std::vector<batch_action>& actions)
{
    BOOST_REQUIRE(!actions.empty());
    return std::get<batch_step>(actions.back());
}

table_transaction transaction_of(const std::vector<batch_action>& actions)
{
    return std::get<commit_step>(step_of(actions).step).transaction;
}

const update_outcome& outcome_of(const std::vector<batch_action>& actions,
                                 std::size_t index)
{
    return std::get<update_outcome>(actions.at(index));
}

const result<commit_receipt>
    lost_response(make_error_code(platform_error::outcome_unknown));

} // namespace

BOOST_AUTO_TEST_SUITE(claim_batcher_test)

BOOST_AUTO_TEST_CASE(one_conflict_does_not_fail_the_others)
{
    memory_table table;
    table.commit({"x", {}, {{"b", "taken"}}});
    claim_batcher batcher{batch_limits()};
    batcher.submit(update_of("1", "a"), batcher_start);
    batcher.submit(update_of("2", "b"), batcher_start);
    const std::vector<batch_action> first = batcher.tick(batcher_due);
    const std::vector<batch_action> second = batcher.commit_completed(
        step_of(first).batch, table.commit(transaction_of(first)), batcher_due);
    BOOST_TEST((outcome_of(second, 0).result == update_result::conflicted));
    BOOST_TEST(outcome_of(second, 0).present.value == "taken");
    const std::vector<batch_action> third = batcher.commit_completed(
        step_of(second).batch, table.commit(transaction_of(second)),
        batcher_due);
    BOOST_TEST((outcome_of(third, 0).result == update_result::committed));
    BOOST_TEST(outcome_of(third, 0).version == table.read("a").value().version);
}

BOOST_AUTO_TEST_CASE(updates_of_one_row_do_not_share_a_transaction)
{
    claim_batcher batcher{batch_limits()};
    batcher.submit(update_of("1", "a"), batcher_start);
    batcher.submit(update_of("2", "a"), batcher_start);
    const std::vector<batch_action> opened = batcher.tick(batcher_due);
    BOOST_TEST(opened.size() == 1U);
    BOOST_TEST(transaction_of(opened).writes.size() == 1U);
}

BOOST_AUTO_TEST_CASE(
    first_update_committed_on_another_path_does_not_confirm_the_batch)
{
    memory_table table;
    claim_batcher batcher{batch_limits()};
    batcher.submit(update_of("1", "a"), batcher_start);
    batcher.submit(update_of("2", "b"), batcher_start);
    const std::vector<batch_action> first = batcher.tick(batcher_due);
    // The sender timed out waiting for the batch and committed update 1
    // itself; another writer updated b.
    table.commit({"x", {}, {{"a", row_stamp::successor("", "1/local", "v")}}});
    table.commit({"y", {}, {{"b", row_stamp::successor("", "9", "v")}}});
    const std::vector<batch_action> ended = batcher.commit_completed(
        step_of(first).batch, table.commit(transaction_of(first)), batcher_due);
    BOOST_TEST(outcome_of(ended, 0).id == "2");
    BOOST_TEST((outcome_of(ended, 0).result == update_result::conflicted));
    BOOST_TEST((outcome_of(ended, 1).result == update_result::committed));
}

BOOST_AUTO_TEST_CASE(
    an_abandoned_batch_cannot_commit_after_its_outcome_is_reported)
{
    memory_table table;
    claim_batcher batcher{batch_limits()};
    batcher.submit(update_of("1", "a"), batcher_start);
    batcher.submit(update_of("2", "b"), batcher_start);
    const std::vector<batch_action> first = batcher.tick(batcher_due);
    const std::uint64_t batch = step_of(first).batch;
    const time_point end = batcher_start + std::chrono::seconds(3);
    BOOST_TEST(batcher.commit_completed(batch, lost_response, end).empty());
    const time_point wake = batcher.next_wake();
    BOOST_TEST(batcher.tick(wake).size() == 1U);
    const std::vector<batch_action> tombstone =
        batcher.read_completed(batch, table.read("a"), wake);
    const std::vector<batch_action> ended = batcher.commit_completed(
        batch, table.commit(transaction_of(tombstone)), wake);
    BOOST_TEST((outcome_of(ended, 0).result == update_result::not_written));
    BOOST_TEST((outcome_of(ended, 1).result == update_result::not_written));
    BOOST_TEST(!table.commit(transaction_of(first)).committed);
}

BOOST_AUTO_TEST_CASE(
    a_local_fallback_that_is_abandoned_also_stops_the_forwarded_update)
{
    memory_table table;
    claim_forwarder forwarder("here", forward_limits{1, {}});
    forwarder.hosts_changed({"there"});
    const forward_update sent = std::get<forward_update>(
        forwarder.submit(update_of("1", "a"), batcher_start).at(0));
    const row_update local =
        std::get<submit_locally>(forwarder.tick(batcher_start).at(0)).update;
    claim_batcher batcher{batch_limits()};
    const time_point end = batcher_start + std::chrono::seconds(3);
    batcher.submit(local, end);
    const std::vector<batch_action> tombstone =
        batcher.tick(end + batch_limits().interval);
    const std::vector<batch_action> ended = batcher.commit_completed(
        step_of(tombstone).batch, table.commit(transaction_of(tombstone)), end);
    const update_outcome reported_outcome = std::get<update_outcome>(
        forwarder.local_update_completed(outcome_of(ended, 0)).at(0));
    BOOST_TEST(reported_outcome.id == "1");
    BOOST_TEST((reported_outcome.result == update_result::not_written));
    BOOST_TEST(!table
                    .commit({"late",
                             {{"a", sent.update.version}},
                             {{"a", sent.update.value}}})
                    .committed);
}

BOOST_AUTO_TEST_SUITE_END()
