#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point start{std::chrono::seconds(10)};

target_change make_joined_change(const std::string& id, target_role stage)
{
    return {target_change::kind::joined, make_engine_record(id, "a", stage)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_registry_test)

BOOST_AUTO_TEST_CASE(reported_load_is_added_to_the_local_load)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const std::shared_ptr<target_view> target =
        make_engine("e", "a", target_role::decode);
    const target_load_guard guard(target, 100, 1000, clock);
    target->remote_load.requests = 5;
    target->remote_load.pending_prefill_tokens = 50;
    target->remote_load_received_at = clock.now();
    BOOST_TEST(expected_load(*target, 60, clock.now()).requests == 6);
    BOOST_TEST(expected_load(*target, 60, clock.now()).pending_prefill_tokens ==
               150);
}

BOOST_AUTO_TEST_CASE(without_reports_other_hosts_count_like_this_host)
{
    manual_clock clock;
    clock.advance(std::chrono::seconds(10));
    const std::shared_ptr<target_view> target =
        make_engine("e", "a", target_role::decode);
    target->remote_load.requests = 50;
    target->remote_load_received_at = clock.now();
    const target_load_guard guard(target, 0, 0, clock);
    clock.advance(std::chrono::seconds(5));
    BOOST_TEST(expected_load(*target, 4, clock.now()).requests == 4,
               boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_CASE(an_engine_whose_stage_another_host_changes_is_unavailable)
{
    const std::shared_ptr<target_view> target =
        make_engine("e", "a", target_role::decode);
    target->remote_load.hosts_changing_stage = 1;
    target->remote_load_received_at = start;
    BOOST_TEST(!target->is_available(start));
    // The report expires.
    BOOST_TEST(target->is_available(start + std::chrono::seconds(1)));
}

// A single host that has lost its connection to an engine must not make all
// other hosts avoid the engine.
BOOST_AUTO_TEST_CASE(an_engine_is_avoided_only_if_several_hosts_suspect_it)
{
    const std::shared_ptr<target_view> target =
        make_engine("e", "a", target_role::decode);
    target->remote_load.hosts_suspecting = 1;
    target->remote_load_received_at = start;
    BOOST_TEST(target->is_available(start));
    target->remote_load.hosts_suspecting = 2;
    BOOST_TEST(!target->is_available(start));
    target->health.record(exchange_outcome::responded, start);
    BOOST_TEST(target->is_available(start));
}

BOOST_AUTO_TEST_CASE(engines_of_the_initial_snapshot_are_warm)
{
    target_registry registry;
    registry.apply(make_joined_change("old", target_role::prefill), true,
                   start);
    registry.apply(make_joined_change("new", target_role::prefill), false,
                   start);
    BOOST_TEST((registry.find("old")->cache_warm_at <= start));
    BOOST_TEST((registry.find("new")->cache_warm_at > start));
}

BOOST_AUTO_TEST_CASE(a_stage_change_restarts_the_cache_warm_up)
{
    target_registry registry;
    registry.apply(make_joined_change("e", target_role::decode), true, start);
    registry.find("e")->stage_change_until = start + std::chrono::seconds(5);
    target_change change = make_joined_change("e", target_role::prefill);
    change.type = target_change::kind::updated;
    registry.apply(change, false, start);
    BOOST_TEST((registry.find("e")->cache_warm_at > start));
    BOOST_TEST((registry.find("e")->stage_change_until <= start));
}

BOOST_AUTO_TEST_CASE(the_end_of_refusals_is_known_only_if_all_targets_refuse)
{
    const time_point now{std::chrono::seconds(10)};
    std::vector<std::shared_ptr<target_view>> targets;
    for (int number = 0; number < 3; ++number)
    {
        target_record record;
        record.id = "t" + std::to_string(number);
        targets.push_back(std::make_shared<target_view>(record));
    }
    BOOST_TEST(!earliest_refusal_end(targets, now).has_value());
    targets[0]->refuses_until = now + std::chrono::seconds(5);
    targets[1]->refuses_until = now + std::chrono::seconds(3);
    BOOST_TEST(!targets[0]->is_available(now));
    BOOST_TEST(!earliest_refusal_end(targets, now).has_value());
    targets[2]->is_withdrawn = true;
    BOOST_TEST((earliest_refusal_end(targets, now).value() ==
                now + std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
