#include "configuration/configuration.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point editor_start{std::chrono::hours(1)};

document_change change_of(const std::string& id, document_version expected)
{
    document_change change;
    change.service = "order-desk";
    change.change_id = id;
    change.expected_version = expected;
    change.author = "operator";
    change.text = "text of " + id;
    return change;
}

/** Executes the editor's steps until it responds to the operator.
    @param loses_response  whether the response to the first commit is lost
    @returns the response; nullopt if there is none after 20 rounds */
std::optional<change_response> carry_out(memory_table& table,
                                         document_editor& editor,
                                         std::vector<editor_action> actions,
                                         bool loses_response = false)
{
    std::optional<change_response> response;
    time_point now = editor_start;
    for (int round = 0; round < 20 && !response; ++round)
    {
        std::vector<editor_action> next;
        for (const editor_action& action : actions)
        {
            if (const change_response* answer =
                    std::get_if<change_response>(&action))
                response = *answer;
            const editor_step* const step = std::get_if<editor_step>(&action);
            if (step == nullptr)
                continue;
            if (const read_step* read = std::get_if<read_step>(&step->step))
            {
                next = editor.read_completed(step->request_id,
                                             table.read(read->key), now);
                continue;
            }
            result<commit_receipt> receipt =
                table.commit(std::get<commit_step>(step->step).transaction);
            if (loses_response)
                receipt = make_error_code(platform_error::outcome_unknown);
            loses_response = false;
            next = editor.commit_completed(step->request_id, receipt, now);
        }
        if (next.empty() && !response)
        {
            now += std::chrono::milliseconds(100);
            next = editor.tick(now);
        }
        actions = next;
    }
    return response;
}

change_response apply(memory_table& table, const document_change& change,
                      bool loses_response = false)
{
    document_editor editor("process-of-" + change.change_id, editor_limits());
    return carry_out(table, editor,
                     editor.change_requested("r", change, editor_start),
                     loses_response)
        .value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(document_editor_test)

BOOST_AUTO_TEST_CASE(
    of_two_conflicting_changes_one_wins_and_the_other_gets_the_text)
{
    memory_table table;
    BOOST_TEST(apply(table, change_of("a", 0)).version == 1U);
    const change_response loser = apply(table, change_of("b", 0));
    BOOST_TEST((loser.verdict == change_verdict::conflict));
    BOOST_TEST(loser.current.version == 1U);
    BOOST_TEST(loser.current.text == "text of a");
    BOOST_TEST(apply(table, change_of("b", 1)).version == 2U);
}

BOOST_AUTO_TEST_CASE(
    a_lost_response_is_resolved_locally_and_by_repeating_the_request)
{
    memory_table table;
    BOOST_TEST((apply(table, change_of("a", 0), true).verdict ==
                change_verdict::accepted));
    BOOST_TEST(apply(table, change_of("b", 1)).version == 2U);
    // The request is repeated after another change to the document.
    const change_response again = apply(table, change_of("a", 0));
    BOOST_TEST((again.verdict == change_verdict::accepted));
    BOOST_TEST(again.version == 1U);
    document_change other = change_of("a", 2);
    other.text = "another text";
    BOOST_TEST(
        (apply(table, other).verdict == change_verdict::change_id_reused));
}

BOOST_AUTO_TEST_CASE(
    a_change_is_accepted_once_a_majority_of_each_region_holds_it)
{
    memory_table table;
    document_editor editor("p", editor_limits());
    editor.fleet_changed(
        {{"n1", "north"}, {"n2", "north"}, {"n3", "north"}, {"s1", "south"}});
    BOOST_TEST(!carry_out(
        table, editor,
        editor.change_requested("r", change_of("a", 0), editor_start)));
    editor.host_revision_reported("n1", 1, editor_start);
    editor.host_revision_reported("s1", 1, editor_start);
    editor.host_revision_reported("n2", 0, editor_start);
    const time_point end = editor_start + editor_limits().response_timeout;
    const std::vector<editor_action> late = editor.tick(end);
    const change_response response = std::get<change_response>(late.at(1));
    BOOST_TEST((response.verdict == change_verdict::committed));
    BOOST_TEST(response.missing_regions.size() == 1U);
    BOOST_TEST(response.missing_regions.at(0) == "north");
}

BOOST_AUTO_TEST_SUITE_END()
