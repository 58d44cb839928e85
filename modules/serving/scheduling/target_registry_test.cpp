#include "serving/scheduling/serving_fakes.hpp"

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
    const target_load_guard own(target, 100, 1000, clock);
    target->remote_load.requests = 5;
    target->remote_load.pending_prefill_tokens = 50;
    target->remote_load_received_at = clock.now();
    BOOST_TEST(expected_load(*target, 60, clock.now()).requests == 6);
    BOOST_TEST(expected_load(*target, 60, clock.now()).pending_prefill_tokens ==
               150);
}

BOOST_AUTO_TEST_CASE(without_news_the_others_are_taken_to_do_the_same)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->remote_load.requests = 50;
    target->remote_load_received_at = clock.now();
    const target_load_guard own(target, 0, 0, clock);
    clock.advance(std::chrono::seconds(5));
    BOOST_TEST(expected_load(*target, 4, clock.now()).requests == 4,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(an_engine_that_another_host_changes_takes_no_work)
{
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->remote_load.hosts_changing_stage = 1;
    target->remote_load_received_at = start;
    BOOST_TEST(!target->is_available(start));
    // The news grow old.
    BOOST_TEST(target->is_available(start + std::chrono::seconds(1)));
}

// A host that is cut off from an engine must not keep all others from it.
BOOST_AUTO_TEST_CASE(several_hosts_have_to_find_an_engine_silent)
{
    const std::shared_ptr<target_view> target =
        engine("e", "a", target_role::decode);
    target->remote_load.hosts_suspecting = 1;
    target->remote_load_received_at = start;
    BOOST_TEST(target->is_available(start));
    target->remote_load.hosts_suspecting = 2;
    BOOST_TEST(!target->is_available(start));
    target->health.record(exchange_outcome::answered, start);
    BOOST_TEST(target->is_available(start));
}

BOOST_AUTO_TEST_CASE(engines_of_the_first_look_are_settled)
{
    target_registry registry;
    registry.apply(joined("old", target_role::prefill), true, start);
    registry.apply(joined("new", target_role::prefill), false, start);
    BOOST_TEST((registry.find("old")->settles_at <= start));
    BOOST_TEST((registry.find("new")->settles_at > start));
}

BOOST_AUTO_TEST_CASE(a_change_of_stage_unsettles)
{
    target_registry registry;
    registry.apply(joined("e", target_role::decode), true, start);
    registry.find("e")->stage_change_until = start + std::chrono::seconds(5);
    target_change change = joined("e", target_role::prefill);
    change.what = target_change::kind::updated;
    registry.apply(change, false, start);
    BOOST_TEST((registry.find("e")->settles_at > start));
    BOOST_TEST((registry.find("e")->stage_change_until <= start));
}

BOOST_AUTO_TEST_SUITE_END()
