#include "serving/scheduling/serving_fakes.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

constexpr double usual_service_ms = 10;

/** The slowness of a server that is 2.5 times slower for about 600 ms at a
    time, 0.15 of the time. */
class varying_server
{
public:
    explicit varying_server(double base)
        : base_(base)
    {
    }

    double slowness(double now_ms, std::mt19937_64& random)
    {
        while (now_ms >= phase_end_ms_)
        {
            is_slow_ = !is_slow_;
            constexpr double slow_ms = 600;
            constexpr double usual_ms = slow_ms * 0.85 / 0.15;
            phase_end_ms_ += std::exponential_distribution<double>(
                1 / (is_slow_ ? slow_ms : usual_ms))(random);
        }
        return base_ * (is_slow_ ? 2.5 : 1);
    }

private:
    double base_;
    bool is_slow_ = true;
    double phase_end_ms_ = 0;
};

struct played_load
{
    double mean_ms = 0;
    double late_fraction = 0;
};

/** Plays 300 calls a second against eight servers of four slots, a quarter of
    them at 0.55 of the usual speed and the others at 1.2.
    @param has_figure  whether the servers report their slowness */
played_load play(bool has_figure)
{
    struct call
    {
        double end_ms;
        double duration_ms;
        std::size_t server;
        double slowness;
        std::unique_ptr<target_load_guard> guard;
    };
    constexpr std::size_t slots = 4;
    std::mt19937_64 random(1);
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    target_registry registry;
    std::vector<varying_server> servers;
    for (std::size_t index = 0; index < 8; ++index)
    {
        target_record record = make_engine_record("s" + std::to_string(index),
                                                  "a", target_role::mixed);
        record.slots = slots;
        registry.apply({target_change::kind::joined, record}, true,
                       clock.now());
        servers.emplace_back(index % 4 == 0 ? 1 / 0.55 : 1 / 1.2);
    }
    const target_list& targets = registry.targets_for_service("llm");
    scheduling_constraints constraints;
    constraints.availability_zone = "a";
    constraints.connection_allowance = 100;
    std::vector<call> calls;
    double total_ms = 0;
    std::size_t late = 0;
    std::size_t count = 0;
    for (int now_ms = 0; now_ms < 60000; ++now_ms)
    {
        for (auto entry = calls.begin(); entry != calls.end();)
        {
            if (entry->end_ms > now_ms)
            {
                ++entry;
                continue;
            }
            total_ms += entry->duration_ms;
            late += entry->duration_ms > 2 * usual_service_ms ? 1U : 0U;
            ++count;
            if (has_figure)
                targets[entry->server]->slowness.add(entry->slowness,
                                                     clock.now());
            entry = calls.erase(entry);
        }
        if (std::bernoulli_distribution(0.3)(random))
        {
            scheduling_failure reason = scheduling_failure::busy;
            const std::shared_ptr<target_view> target =
                server_scheduler::schedule(targets, constraints, clock.now(),
                                           reason);
            BOOST_REQUIRE(target);
            const std::size_t server = static_cast<std::size_t>(
                std::find(targets.begin(), targets.end(), target) -
                targets.begin());
            const double slowness = servers[server].slowness(now_ms, random);
            const double queue = std::max(
                target->requests.level() + 1 - static_cast<double>(slots), 0.0);
            const double duration_ms =
                usual_service_ms * slowness * (1 + queue / slots);
            calls.push_back(
                {now_ms + duration_ms, duration_ms, server, slowness,
                 std::make_unique<target_load_guard>(target, 0, 0, clock)});
        }
        clock.advance(std::chrono::milliseconds(1));
    }
    return {total_ms / static_cast<double>(count),
            static_cast<double>(late) / static_cast<double>(count)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(target_slowness_test)

// Without the figure, calls go to slow servers as long as these have as many
// free slots as the others.
BOOST_AUTO_TEST_CASE(calls_avoid_servers_that_report_that_they_are_slow)
{
    const played_load without_figure = play(false);
    const played_load with_figure = play(true);
    BOOST_TEST_MESSAGE("without the figure: mean "
                       << without_figure.mean_ms << " ms, late "
                       << without_figure.late_fraction << "; with it: mean "
                       << with_figure.mean_ms << " ms, late "
                       << with_figure.late_fraction);
    BOOST_TEST(with_figure.mean_ms < 0.85 * without_figure.mean_ms);
    BOOST_TEST(with_figure.late_fraction < 0.5 * without_figure.late_fraction);
}

// A reading of a moment must not count long after it, nor must a lasting one be
// forgotten. The time constant has to follow from the readings.
BOOST_AUTO_TEST_CASE(the_time_constant_is_learned_from_successive_readings)
{
    for (const double constant_ms : {50.0, 500.0, 5000.0})
    {
        std::mt19937_64 random(2);
        std::shared_ptr<slowness_variation> variation =
            std::make_shared<slowness_variation>();
        target_slowness slowness(variation);
        time_point now{std::chrono::seconds(1)};
        double level = 0;
        for (int sample = 0; sample < 4000; ++sample)
        {
            const double interval_ms =
                std::exponential_distribution<double>(1 / 100.0)(random);
            const double left = std::exp(-interval_ms / constant_ms);
            level =
                level * left + std::normal_distribution<double>(
                                   0, 0.2 * std::sqrt(1 - left * left))(random);
            now += std::chrono::nanoseconds(
                static_cast<std::int64_t>(interval_ms * 1e6));
            slowness.add(1.5 + level, now);
        }
        const double learned_ms = std::chrono::duration<double, std::milli>(
                                      variation->time_constant())
                                      .count();
        BOOST_TEST_MESSAGE("time constant " << constant_ms << " ms, learned "
                                            << learned_ms << " ms");
        BOOST_TEST(learned_ms > constant_ms / 2);
        BOOST_TEST(learned_ms < constant_ms * 2);
    }
}

// An engine that is always slow would otherwise get work again as soon as its
// last reading is old.
BOOST_AUTO_TEST_CASE(the_mean_of_each_target_is_remembered)
{
    std::shared_ptr<slowness_variation> variation =
        std::make_shared<slowness_variation>();
    target_slowness slow(variation);
    target_slowness fast(variation);
    time_point now{std::chrono::seconds(1)};
    BOOST_TEST(slow.expected(now) == 1);
    std::mt19937_64 random(3);
    std::uniform_real_distribution<double> noise(-0.1, 0.1);
    for (int sample = 0; sample < 200; ++sample)
    {
        now += std::chrono::milliseconds(50);
        slow.add(1.8 + noise(random), now);
        fast.add(0.8 + noise(random), now);
    }
    now += std::chrono::minutes(5);
    BOOST_TEST(slow.expected(now) > 1.7);
    BOOST_TEST(fast.expected(now) < 0.9);
}

// Without the fourth figure, placements must be as before, whatever the load.
BOOST_AUTO_TEST_CASE(targets_without_readings_count_as_usual)
{
    const target_slowness unknown;
    BOOST_TEST(!unknown.is_known());
    BOOST_TEST(unknown.expected(time_point{std::chrono::hours(1)}) == 1);
}

// Long prompts at an engine that runs at half speed would miss their objective
// there, while its load report alone shows an idle engine.
BOOST_AUTO_TEST_CASE(long_prompts_avoid_a_slow_prefill_engine)
{
    target_list engines;
    for (int index = 0; index < 9; ++index)
        engines.push_back(make_engine("r" + std::to_string(index), "a",
                                      target_role::prefill));
    engines.push_back(make_engine("d0", "a", target_role::decode));
    const time_point now{std::chrono::seconds(1)};
    const prompt_info prompt = make_long_prompt("doc-1", "s1");
    const prefill_engine_selector selector(make_engine_estimates(),
                                           make_engine_properties());
    const engine_candidate first =
        selector.select(engines, make_generation_request(prompt), now);
    BOOST_REQUIRE(first.target);
    first.target->slowness.add(8, now);
    const engine_candidate second =
        selector.select(engines, make_generation_request(prompt), now);
    BOOST_TEST(second.target != first.target);
    for (const std::shared_ptr<target_view>& engine : engines)
        engine->slowness.add(8, now);
    const engine_candidate slowed =
        selector.select(engines, make_generation_request(prompt), now);
    BOOST_TEST(slowed.target == first.target);
    BOOST_TEST(slowed.baseline_ms == 8 * first.baseline_ms,
               boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
