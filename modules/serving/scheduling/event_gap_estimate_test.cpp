#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

constexpr std::chrono::milliseconds gap_objective{150};

struct played_streams
{
    std::size_t streams = 0;
    std::size_t late = 0;
    std::size_t refused = 0;
};

/** Plays 60 streams a second of four events each against 17 engines of six
    slots, a quarter of them at 0.55 of the usual speed and the others at 1.2.
    One gap in seven is 2.5 times as long as usual.
    @param objective      the gap objective of the route
    @param has_figure     whether the engines report their slowness
    @param ms_per_token   decides whether the completions are packed */
played_streams play(std::chrono::milliseconds objective, bool has_figure,
                    double ms_per_token)
{
    struct stream
    {
        double event_ms;
        double gap_ms;
        int gaps_left;
        bool is_late;
        std::size_t engine;
        std::unique_ptr<target_load_guard> guard;
    };
    std::mt19937_64 random(1);
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    target_list engines;
    for (std::size_t index = 0; index < 17; ++index)
    {
        engines.push_back(
            make_engine("d" + std::to_string(index), "a", target_role::decode));
        engines.back()->record.slots = 6;
    }
    const auto slowness_of = [](std::size_t index)
    {
        return index % 4 == 0 ? 1 / 0.55 : 1 / 1.2;
    };
    const auto next_gap_ms = [&](std::size_t index)
    {
        constexpr double usual_gap_ms = 50;
        return usual_gap_ms * slowness_of(index) *
               (std::bernoulli_distribution(0.15)(random) ? 2.5 : 1);
    };
    engine_estimates estimates = make_engine_estimates();
    estimates.completion.ms_per_token = ms_per_token;
    const decode_engine_selector selector(estimates, make_engine_properties());
    prompt_info prompt = make_short_prompt();
    prompt.output_tokens = 72;
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    request.event_gap_objective = objective;
    played_streams result;
    std::vector<stream> streams;
    for (int now_ms = 0; now_ms < 60000; ++now_ms)
    {
        for (auto entry = streams.begin(); entry != streams.end();)
        {
            if (entry->event_ms > now_ms)
            {
                ++entry;
                continue;
            }
            const std::shared_ptr<target_view>& engine = engines[entry->engine];
            const std::chrono::duration<double, std::milli> gap(entry->gap_ms);
            const double slowness = engine->slowness.expected(clock.now());
            engine->event_gaps.add(gap, slowness, clock.now());
            request.delays.event_gaps.add(gap, slowness, clock.now());
            entry->is_late = entry->is_late || gap > gap_objective;
            if (--entry->gaps_left > 0)
            {
                entry->gap_ms = next_gap_ms(entry->engine);
                entry->event_ms += entry->gap_ms;
                ++entry;
                continue;
            }
            result.late += entry->is_late ? 1U : 0U;
            ++result.streams;
            entry = streams.erase(entry);
        }
        if (std::bernoulli_distribution(0.06)(random))
        {
            request.random_value = random();
            const std::shared_ptr<target_view> target =
                selector.select(engines, request, nullptr, clock.now()).target;
            if (!target)
            {
                ++result.refused;
                continue;
            }
            const std::size_t index = static_cast<std::size_t>(
                std::find(engines.begin(), engines.end(), target) -
                engines.begin());
            if (has_figure)
                target->slowness.add(slowness_of(index), clock.now());
            const double gap_ms = next_gap_ms(index);
            streams.push_back(
                {now_ms + gap_ms, gap_ms, 3, false, index,
                 std::make_unique<target_load_guard>(target, 0, 292, clock)});
        }
        clock.advance(std::chrono::milliseconds(1));
    }
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(event_gap_estimate_test)

// Streams with a gap objective were placed by their first event alone: on slow
// engines, events were later than the objective allows.
BOOST_AUTO_TEST_CASE(streams_with_a_gap_objective_avoid_engines_with_long_gaps)
{
    for (const double ms_per_token : {0.55, 40.0})
    {
        for (const bool has_figure : {false, true})
        {
            const played_streams before =
                play(std::chrono::milliseconds(0), has_figure, ms_per_token);
            const played_streams after =
                play(gap_objective, has_figure, ms_per_token);
            BOOST_TEST_MESSAGE("figure "
                               << has_figure << ", " << ms_per_token
                               << " ms a token: late " << before.late << " of "
                               << before.streams << " without the objective, "
                               << after.late << " of " << after.streams
                               << " with it");
            BOOST_TEST(before.late * 20 > before.streams);
            BOOST_TEST(after.late * 4 < before.late);
            BOOST_TEST(after.refused == before.refused);
        }
    }
}

// A late pause is better than a refusal, or a queue before the first event.
BOOST_AUTO_TEST_CASE(the_shortest_gap_is_used_if_none_is_within_the_objective)
{
    target_list engines;
    const time_point now{std::chrono::seconds(1)};
    for (int index = 0; index < 6; ++index)
    {
        engines.push_back(
            make_engine("d" + std::to_string(index), "a", target_role::decode));
        for (int gap = 0; gap < 5; ++gap)
            engines.back()->event_gaps.add(
                std::chrono::milliseconds(300 - 20 * index), 1, now);
    }
    const prompt_info prompt = make_short_prompt();
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    request.event_gap_objective = gap_objective;
    const decode_engine_selector selector(make_engine_estimates(),
                                          make_engine_properties());
    BOOST_TEST(selector.select(engines, request, nullptr, now).target ==
               engines[5]);
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (unsigned slot = 0; slot < engines[5]->record.slots; ++slot)
        guards.push_back(
            std::make_unique<target_load_guard>(engines[5], 0, 300, clock));
    BOOST_TEST(selector.select(engines, request, nullptr, now).target ==
               engines[4]);
}

// A full engine with short gaps must not keep streams waiting while engines
// with longer gaps are idle.
BOOST_AUTO_TEST_CASE(streams_do_not_queue_for_an_engine_with_short_gaps)
{
    const time_point now{std::chrono::seconds(1)};
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const target_list engines{make_engine("d0", "a", target_role::decode),
                              make_engine("d1", "a", target_role::decode)};
    for (int gap = 0; gap < 5; ++gap)
    {
        engines[0]->event_gaps.add(std::chrono::milliseconds(50), 1, now);
        engines[1]->event_gaps.add(std::chrono::milliseconds(200), 1, now);
    }
    const prompt_info prompt = make_short_prompt();
    generation_request request = make_generation_request(prompt);
    request.constraints.live_hosts = 1;
    request.event_gap_objective = gap_objective;
    const decode_engine_selector selector(make_engine_estimates(),
                                          make_engine_properties());
    std::vector<std::unique_ptr<target_load_guard>> guards;
    for (unsigned slot = 0; slot < engines[0]->record.slots; ++slot)
    {
        BOOST_TEST(selector.select(engines, request, nullptr, now).target ==
                   engines[0]);
        guards.push_back(
            std::make_unique<target_load_guard>(engines[0], 0, 300, clock));
    }
    BOOST_TEST(selector.select(engines, request, nullptr, now).target ==
               engines[1]);
}

// Engines without observations, and routes without the objective, are placed
// as before.
BOOST_AUTO_TEST_CASE(without_observations_placement_is_unchanged)
{
    target_list engines;
    for (int index = 0; index < 6; ++index)
        engines.push_back(
            make_engine("d" + std::to_string(index), "a", target_role::decode));
    const time_point now{std::chrono::seconds(1)};
    const decode_engine_selector selector(make_engine_estimates(),
                                          make_engine_properties());
    for (const prompt_info& prompt :
         {make_short_prompt(), make_long_prompt("doc-1", "s1")})
    {
        generation_request request = make_generation_request(prompt);
        for (std::uint64_t number = 0; number < 50; ++number)
        {
            request.random_value = stable_hash(std::to_string(number));
            request.event_gap_objective = std::chrono::milliseconds(0);
            const std::shared_ptr<target_view> before =
                selector.select(engines, request, nullptr, now).target;
            request.event_gap_objective = gap_objective;
            BOOST_TEST(selector.select(engines, request, nullptr, now).target ==
                       before);
        }
    }
}

// An engine whose gaps were long must be tried again: its load or its speed may
// have changed.
BOOST_AUTO_TEST_CASE(old_gaps_are_forgotten)
{
    event_gap_estimate engine;
    time_point now{std::chrono::seconds(1)};
    BOOST_TEST(!engine.upper_gap_ms({}, std::nullopt, now).has_value());
    for (int gap = 0; gap < 10; ++gap)
        engine.add(std::chrono::milliseconds(100), 1, now);
    BOOST_TEST(engine.upper_gap_ms({}, std::nullopt, now).value_or(0) == 100,
               boost::test_tools::tolerance(1e-6));
    now += std::chrono::minutes(1);
    BOOST_TEST(!engine.upper_gap_ms({}, std::nullopt, now).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
