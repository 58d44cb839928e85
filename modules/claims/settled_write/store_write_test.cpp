#include "claims/claims.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point store_write_start{std::chrono::hours(1)};

write_plan plan_on_absence()
{
    write_plan plan;
    plan.transaction = {"t1",
                        {{"k", std::nullopt}},
                        {{"k", row_stamp::successor("", "w1", "x")}}};
    plan.marker_key = "k";
    plan.marker_id = "w1";
    plan.tombstone_id = "w1t";
    plan.abandon_at = store_write_start + std::chrono::seconds(1);
    return plan;
}

table_transaction commit_of(const std::optional<store_step>& step)
{
    return std::get<commit_step>(step.value()).transaction;
}

const result<commit_receipt>
    no_answer(make_error_code(platform_error::outcome_unknown));

} // namespace

BOOST_AUTO_TEST_SUITE(store_write_test)

BOOST_AUTO_TEST_CASE(a_lost_response_is_resolved_by_reading_the_marker_row)
{
    memory_table table;
    store_write write(plan_on_absence());
    table.commit(commit_of(write.begin(store_write_start)));
    BOOST_TEST(!write.commit_completed(no_answer, store_write_start));
    const time_point later = write.next_wake();
    const std::optional<store_step> step = write.tick(later);
    BOOST_TEST(std::get<read_step>(step.value()).key == "k");
    write.read_completed(table.read("k"), later);
    BOOST_TEST((write.state() == write_state::committed));
    BOOST_TEST(write.version() == table.read("k").value().version);
}

BOOST_AUTO_TEST_CASE(a_delayed_write_fails_after_it_was_abandoned)
{
    memory_table table;
    store_write write(plan_on_absence());
    const table_transaction late = commit_of(write.begin(store_write_start));
    write.commit_completed(no_answer, store_write_start);
    const time_point end = store_write_start + std::chrono::seconds(2);
    BOOST_TEST(write.tick(end).has_value());
    const std::optional<store_step> step =
        write.read_completed(table.read("k"), end);
    BOOST_TEST((write.state() == write_state::unsettled));
    write.commit_completed(table.commit(commit_of(step)), end);
    BOOST_TEST((write.state() == write_state::abandoned));
    BOOST_TEST(!table.commit(late).committed);
}

BOOST_AUTO_TEST_CASE(a_delayed_write_that_precedes_its_tombstone_is_committed)
{
    memory_table table;
    store_write write(plan_on_absence());
    const table_transaction late = commit_of(write.begin(store_write_start));
    write.commit_completed(no_answer, store_write_start);
    const time_point end = store_write_start + std::chrono::seconds(2);
    write.tick(end);
    const std::optional<store_step> step =
        write.read_completed(table.read("k"), end);
    table.commit(late);
    write.commit_completed(table.commit(commit_of(step)), end);
    BOOST_TEST((write.state() == write_state::committed));
}

BOOST_AUTO_TEST_CASE(a_write_is_recognized_after_later_writes)
{
    memory_table table;
    store_write write(plan_on_absence());
    const table_transaction sent = commit_of(write.begin(store_write_start));
    const row_version version = table.commit(sent).version;
    const std::string value = table.read("k").value().value;
    table.commit({"t2",
                  {{"k", version}},
                  {{"k", row_stamp::successor(value, "other", "y")}}});
    write.commit_completed(table.commit(sent), store_write_start);
    BOOST_TEST((write.state() == write_state::committed));
    BOOST_TEST(write.version() == 0U);
}

BOOST_AUTO_TEST_CASE(a_write_that_was_never_sent_needs_no_tombstone)
{
    store_write write(plan_on_absence());
    write.begin(store_write_start);
    const result<commit_receipt> not_sent(
        make_error_code(platform_error::not_sent));
    write.commit_completed(not_sent, store_write_start);
    BOOST_TEST(!write.tick(store_write_start + std::chrono::seconds(2)));
    BOOST_TEST((write.state() == write_state::abandoned));
}

BOOST_AUTO_TEST_SUITE_END()
