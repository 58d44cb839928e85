#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using engines = std::vector<std::shared_ptr<target_view>>;

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

engines fourteen(std::size_t prefill_engines)
{
    engines all;
    const std::vector<std::string> zones{"a", "b", "c"};
    for (std::size_t number = 0; number < 14; ++number)
        all.push_back(engine("e" + std::to_string(number), zones[number % 3],
                             number < prefill_engines ? target_role::prefill
                                                      : target_role::decode));
    return all;
}

void order(const engines& all, const stage_change& change, time_point until)
{
    for (const std::shared_ptr<target_view>& target : all)
    {
        if (target->record.id != change.target)
            continue;
        target->ordered_stage = change.stage;
        target->stage_change_until = until;
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(stage_planner_test)

// Seen on vandijk-dagtocht quiet-1: the first plan was made while engines were
// still joining, and its second half fell into the first burst.
BOOST_AUTO_TEST_CASE(engines_that_join_later_are_ordered_at_once)
{
    stage_planner planner(stage_planner_settings{});
    engines all = fourteen(4);
    const engines some(all.begin(), all.begin() + 10);
    const std::vector<stage_change> first = planner.plan(some, at(100));
    BOOST_TEST(first.size() == 2U);
    for (const stage_change& change : first)
        order(all, change, at(5600));
    const std::vector<stage_change> second = planner.plan(all, at(600));
    BOOST_TEST(second.size() == 3U);
    for (const stage_change& change : second)
        order(all, change, at(6100));
    BOOST_TEST(planner.plan(all, at(1100)).empty());
}

// One reader more or less of fourteen, or of nine, cost a tenth of the worth
// on the standard days of vandijk-dagtocht and sblro-returns.
BOOST_AUTO_TEST_CASE(faster_links_need_fewer_decoders)
{
    engine_properties slow = today_engine();
    engine_properties fast = today_engine();
    fast.link_megabits_per_second = 22000000;
    fast.slots = 32;
    const double slow_part =
        planned_prefill_fraction(slow, engine_speeds{}, reference_prompt{});
    const double fast_part =
        planned_prefill_fraction(fast, engine_speeds{}, reference_prompt{});
    BOOST_TEST(std::lround(14 * slow_part) == 9);
    BOOST_TEST(std::lround(9 * fast_part) == 7);
    slow.link_megabits_per_second = 0;
    BOOST_TEST(planned_prefill_fraction(slow, engine_speeds{},
                                        reference_prompt{}) == 0.5);
}

BOOST_AUTO_TEST_CASE(fewer_slots_need_more_decoders)
{
    engine_properties few = today_engine();
    few.slots = 4;
    BOOST_TEST(
        planned_prefill_fraction(few, engine_speeds{}, reference_prompt{}) <
        planned_prefill_fraction(today_engine(), engine_speeds{},
                                 reference_prompt{}));
}

// Seen on vandijk-dagtocht-grown scale-1: while 23 engines were replaced, the
// new ones joined as decoders, and for six seconds half of the readers lacked.
BOOST_AUTO_TEST_CASE(newcomers_are_set_right_at_once_when_many_lack)
{
    stage_planner planner(stage_planner_settings{});
    engines all = fourteen(9);
    for (int now = 0; now <= 5000; now += 500)
        BOOST_TEST(planner.plan(all, at(now)).empty());
    for (std::size_t number = 0; number < 3; ++number)
    {
        all[number]->record.stage = target_role::decode;
        all[number]->settles_at = at(13500);
    }
    const std::vector<stage_change> wanted = planner.plan(all, at(5500));
    BOOST_REQUIRE(wanted.size() == 3U);
    for (const stage_change& change : wanted)
        BOOST_TEST((change.target == "e0" || change.target == "e1" ||
                    change.target == "e2"));
    // One too few is left alone.
    all[0]->record.stage = target_role::prefill;
    all[1]->record.stage = target_role::prefill;
    BOOST_TEST(planner.plan(all, at(6000)).empty());
}

BOOST_AUTO_TEST_CASE(every_zone_keeps_a_decoder)
{
    stage_planner planner(stage_planner_settings{});
    const engines all = fourteen(0);
    for (const stage_change& change : planner.plan(all, at(100)))
        order(all, change, at(5000));
    std::map<std::string, int> decode_engines;
    for (const std::shared_ptr<target_view>& target : all)
        decode_engines[target->record.availability_zone] +=
            target->coming_stage(at(200)) == target_role::decode ? 1 : 0;
    BOOST_TEST(decode_engines["a"] > 0);
    BOOST_TEST(decode_engines["b"] > 0);
    BOOST_TEST(decode_engines["c"] > 0);
}

BOOST_AUTO_TEST_CASE(a_division_that_has_settled_is_corrected_with_patience)
{
    stage_planner planner(stage_planner_settings{});
    engines all = fourteen(9);
    BOOST_TEST(planner.plan(all, at(0)).empty());
    BOOST_TEST(planner.plan(all, at(4000)).empty());
    all[9]->is_withdrawn = true;
    BOOST_TEST(planner.plan(all, at(5000)).empty());
    all[10]->is_withdrawn = true;
    all[11]->is_withdrawn = true;
    BOOST_TEST(planner.plan(all, at(6000)).empty());
    BOOST_TEST(planner.plan(all, at(11900)).empty());
    BOOST_TEST(!planner.plan(all, at(12100)).empty());
}

BOOST_AUTO_TEST_CASE(a_stage_that_nobody_serves_is_filled_at_once)
{
    stage_planner planner(stage_planner_settings{});
    engines all = fourteen(9);
    planner.plan(all, at(0));
    planner.plan(all, at(4000));
    for (const std::shared_ptr<target_view>& target : all)
        target->is_withdrawn = target->record.stage == target_role::decode;
    BOOST_TEST(!planner.plan(all, at(5000)).empty());
}

BOOST_AUTO_TEST_SUITE_END()
