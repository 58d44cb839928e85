#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using engine_list = std::vector<std::shared_ptr<target_view>>;

time_point at_ms(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

engine_list make_fourteen_engines(std::size_t prefill_engines)
{
    engine_list engines;
    const std::vector<std::string> zones{"a", "b", "c"};
    for (std::size_t number = 0; number < 14; ++number)
        engines.push_back(
            make_engine("e" + std::to_string(number), zones[number % 3],
                        number < prefill_engines ? target_role::prefill
                                                 : target_role::decode));
    return engines;
}

void apply_stage_change(const engine_list& engines, const stage_change& change,
                        time_point completion_time)
{
    for (const std::shared_ptr<target_view>& target : engines)
    {
        if (target->record.id != change.target)
            continue;
        target->ordered_stage = change.stage;
        target->stage_change_until = completion_time;
    }
}

/** Prompts of 9,200 tokens, of which 3,500 are not cached, at engines that
    prefill 350 tokens a millisecond. */
const stage_demand long_prompt_demand{10, 9200, 80};

} // namespace

BOOST_AUTO_TEST_SUITE(stage_planner_test)

// A plan made while engines are still joining must also cover the engines that
// join later. If those were changed only after the correction delay, their
// stage changes could coincide with the first burst of requests.
BOOST_AUTO_TEST_CASE(engines_joining_during_the_initial_plan_change_at_once)
{
    stage_planner planner(stage_planner_settings{});
    engine_list engines = make_fourteen_engines(4);
    const engine_list initially_joined(engines.begin(), engines.begin() + 10);
    const std::vector<stage_change> first_changes =
        planner.plan(initially_joined, at_ms(100));
    BOOST_TEST(first_changes.size() == 2U);
    for (const stage_change& change : first_changes)
        apply_stage_change(engines, change, at_ms(5600));
    const std::vector<stage_change> second_changes =
        planner.plan(engines, at_ms(600));
    BOOST_TEST(second_changes.size() == 3U);
    for (const stage_change& change : second_changes)
        apply_stage_change(engines, change, at_ms(6100));
    BOOST_TEST(planner.plan(engines, at_ms(1100)).empty());
}

// The division is sensitive: one prefill engine more or less among nine or
// fourteen engines reduces the goodput by a tenth.
BOOST_AUTO_TEST_CASE(faster_links_need_fewer_decode_engines)
{
    engine_properties slow = make_engine_properties();
    engine_properties fast = make_engine_properties();
    fast.link_megabits_per_second = 22000000;
    fast.slots = 32;
    const double slow_fraction =
        planned_prefill_fraction(slow, long_prompt_demand, 3);
    const double fast_fraction =
        planned_prefill_fraction(fast, long_prompt_demand, 3);
    BOOST_TEST(std::lround(14 * slow_fraction) == 9);
    BOOST_TEST(std::lround(9 * fast_fraction) == 7);
    // Without a known link, only the slots occupy the decode engines.
    slow.link_megabits_per_second = 0;
    BOOST_TEST(planned_prefill_fraction(slow, long_prompt_demand, 3) == 2.0 / 3,
               boost::test_tools::tolerance(1e-9));
}

// Before the first requests, the speed of the engines is unknown. A division
// for other engines would leave half of the fleet idle while prompts wait.
BOOST_AUTO_TEST_CASE(the_plan_follows_the_demand_once_it_has_been_observed)
{
    stage_planner planner(stage_planner_settings{});
    engine_list engines = make_fourteen_engines(9);
    for (int elapsed_ms = 0; elapsed_ms < 5000; elapsed_ms += 500)
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
    planner.set_prefill_fraction(0.86, at_ms(5000));
    BOOST_TEST(planner.plan(engines, at_ms(5000)).empty());
    planner.set_prefill_fraction(0.86, at_ms(9000));
    const std::vector<stage_change> changes =
        planner.plan(engines, at_ms(9000));
    BOOST_TEST(changes.size() == 3U);
    for (const stage_change& change : changes)
    {
        for (const std::shared_ptr<target_view>& engine : engines)
        {
            if (engine->record.id == change.target)
                engine->record.stage = change.stage;
        }
    }
    for (int elapsed_ms = 9500; elapsed_ms < 15000; elapsed_ms += 500)
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
    // Later differences have to be large and to last.
    planner.set_prefill_fraction(0.8, at_ms(15000));
    for (int elapsed_ms = 15000; elapsed_ms < 30000; elapsed_ms += 500)
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
}

// The initial plan suits the demand. One engine more or less is within the
// error of the first seconds, in which caches are cold.
BOOST_AUTO_TEST_CASE(a_plan_that_differs_little_from_the_initial_one_stays)
{
    stage_planner planner(stage_planner_settings{});
    const engine_list engines = make_fourteen_engines(9);
    for (int elapsed_ms = 0; elapsed_ms < 20000; elapsed_ms += 500)
    {
        planner.set_prefill_fraction(0.7, at_ms(elapsed_ms));
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
    }
}

BOOST_AUTO_TEST_CASE(a_successor_keeps_the_division_until_it_knows_the_demand)
{
    stage_planner_settings settings;
    settings.is_already_divided = true;
    stage_planner planner(settings);
    const engine_list engines = make_fourteen_engines(12);
    for (int elapsed_ms = 0; elapsed_ms < 20000; elapsed_ms += 500)
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
}

// The first holder of the lease was lost before it could apply the plan that
// follows the demand.
BOOST_AUTO_TEST_CASE(a_successor_replaces_a_division_that_is_clearly_wrong)
{
    stage_planner_settings settings;
    settings.is_already_divided = true;
    settings.initial_prefill_fraction = 9.0 / 14;
    const engine_list engines = make_fourteen_engines(9);
    stage_planner similar(settings);
    similar.set_prefill_fraction(0.7, at_ms(0));
    BOOST_TEST(similar.plan(engines, at_ms(0)).empty());
    stage_planner different(settings);
    different.set_prefill_fraction(0.8, at_ms(0));
    BOOST_TEST(different.plan(engines, at_ms(0)).size() == 2U);
}

BOOST_AUTO_TEST_CASE(fewer_slots_need_more_decode_engines)
{
    engine_properties few_slots = make_engine_properties();
    few_slots.slots = 4;
    BOOST_TEST(planned_prefill_fraction(few_slots, long_prompt_demand, 3) <
               planned_prefill_fraction(make_engine_properties(),
                                        long_prompt_demand, 3));
}

// Engines that prefill ten times more slowly need almost all of the fleet for
// prompts. With the division of faster engines, half of the fleet would be idle
// while prompts wait for seconds.
BOOST_AUTO_TEST_CASE(slower_engines_need_more_prefill_engines)
{
    stage_demand slow = long_prompt_demand;
    slow.prefill_ms *= 10;
    BOOST_TEST(planned_prefill_fraction(make_engine_properties(), slow, 3) >
               0.79);
}

// When many engines are replaced at once, the new ones join as decode engines.
// Waiting for the correction delay would leave the service without half of its
// prefill engines for six seconds.
BOOST_AUTO_TEST_CASE(recently_joined_engines_change_at_once_if_many_are_missing)
{
    stage_planner planner(stage_planner_settings{});
    engine_list engines = make_fourteen_engines(9);
    for (int elapsed_ms = 0; elapsed_ms <= 5000; elapsed_ms += 500)
        BOOST_TEST(planner.plan(engines, at_ms(elapsed_ms)).empty());
    for (std::size_t number = 0; number < 3; ++number)
    {
        engines[number]->record.stage = target_role::decode;
        engines[number]->cache_warm_at = at_ms(13500);
    }
    const std::vector<stage_change> changes =
        planner.plan(engines, at_ms(5500));
    BOOST_REQUIRE(changes.size() == 3U);
    for (const stage_change& change : changes)
        BOOST_TEST((change.target == "e0" || change.target == "e1" ||
                    change.target == "e2"));
    // A difference of one engine is ignored.
    engines[0]->record.stage = target_role::prefill;
    engines[1]->record.stage = target_role::prefill;
    BOOST_TEST(planner.plan(engines, at_ms(6000)).empty());
}

BOOST_AUTO_TEST_CASE(every_zone_keeps_a_decode_engine)
{
    stage_planner planner(stage_planner_settings{});
    const engine_list engines = make_fourteen_engines(0);
    for (const stage_change& change : planner.plan(engines, at_ms(100)))
        apply_stage_change(engines, change, at_ms(5000));
    std::map<std::string, int> decode_engines;
    for (const std::shared_ptr<target_view>& target : engines)
        decode_engines[target->record.availability_zone] +=
            target->upcoming_stage(at_ms(200)) == target_role::decode ? 1 : 0;
    BOOST_TEST(decode_engines["a"] > 0);
    BOOST_TEST(decode_engines["b"] > 0);
    BOOST_TEST(decode_engines["c"] > 0);
}

BOOST_AUTO_TEST_CASE(a_stable_division_is_corrected_after_the_delay)
{
    stage_planner planner(stage_planner_settings{});
    engine_list engines = make_fourteen_engines(9);
    BOOST_TEST(planner.plan(engines, at_ms(0)).empty());
    BOOST_TEST(planner.plan(engines, at_ms(4000)).empty());
    engines[9]->is_withdrawn = true;
    BOOST_TEST(planner.plan(engines, at_ms(5000)).empty());
    engines[10]->is_withdrawn = true;
    engines[11]->is_withdrawn = true;
    BOOST_TEST(planner.plan(engines, at_ms(6000)).empty());
    BOOST_TEST(planner.plan(engines, at_ms(11900)).empty());
    BOOST_TEST(!planner.plan(engines, at_ms(12100)).empty());
}

BOOST_AUTO_TEST_CASE(a_stage_without_engines_is_filled_at_once)
{
    stage_planner planner(stage_planner_settings{});
    engine_list engines = make_fourteen_engines(9);
    planner.plan(engines, at_ms(0));
    planner.plan(engines, at_ms(4000));
    for (const std::shared_ptr<target_view>& target : engines)
        target->is_withdrawn = target->record.stage == target_role::decode;
    BOOST_TEST(!planner.plan(engines, at_ms(5000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
