#include "serving/placing/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point start{std::chrono::seconds(10)};

target_change joined(const std::string& id, target_role stage)
{
    return {target_change::kind::joined, engine_record(id, "a", stage)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_board_test)

BOOST_AUTO_TEST_CASE(told_load_is_added_to_the_own)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    const target_work own(target, 100, 1000, clock);
    target->elsewhere.requests = 5;
    target->elsewhere.unread_tokens = 50;
    target->elsewhere_heard_at = clock.now();
    BOOST_TEST(expected_load(*target, 60, clock.now()).requests == 6);
    BOOST_TEST(expected_load(*target, 60, clock.now()).unread_tokens == 150);
}

BOOST_AUTO_TEST_CASE(without_news_the_others_are_taken_to_do_the_same)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->elsewhere.requests = 50;
    target->elsewhere_heard_at = clock.now();
    const target_work own(target, 0, 0, clock);
    clock.advance(std::chrono::seconds(5));
    BOOST_TEST(expected_load(*target, 4, clock.now()).requests == 4,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(an_engine_that_another_host_changes_takes_no_work)
{
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->elsewhere.hosts_changing_it = 1;
    target->elsewhere_heard_at = start;
    BOOST_TEST(!target->takes_work(start));
    // The news grow old.
    BOOST_TEST(target->takes_work(start + std::chrono::seconds(1)));
}

// A host that is cut off from an engine must not keep all others from it.
BOOST_AUTO_TEST_CASE(several_hosts_have_to_find_an_engine_silent)
{
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->elsewhere.hosts_without_word = 1;
    target->elsewhere_heard_at = start;
    BOOST_TEST(target->takes_work(start));
    target->elsewhere.hosts_without_word = 2;
    BOOST_TEST(!target->takes_work(start));
    target->health.record(exchange_outcome::answered, start);
    BOOST_TEST(target->takes_work(start));
}

BOOST_AUTO_TEST_CASE(engines_of_the_first_look_are_settled)
{
    target_board board;
    board.apply(joined("old", target_role::prefill), true, start);
    board.apply(joined("new", target_role::prefill), false, start);
    BOOST_TEST((board.find("old")->settles_at <= start));
    BOOST_TEST((board.find("new")->settles_at > start));
}

BOOST_AUTO_TEST_CASE(a_change_of_stage_unsettles)
{
    target_board board;
    board.apply(joined("e", target_role::decode), true, start);
    board.find("e")->changing_until = start + std::chrono::seconds(5);
    target_change change = joined("e", target_role::prefill);
    change.what = target_change::kind::updated;
    board.apply(change, false, start);
    BOOST_TEST((board.find("e")->settles_at > start));
    BOOST_TEST((board.find("e")->changing_until <= start));
}

BOOST_AUTO_TEST_SUITE_END()
