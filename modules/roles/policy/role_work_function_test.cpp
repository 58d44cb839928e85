#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;
using std::chrono::seconds;

namespace
{

constexpr engine_demand long_prompts{6.0, 2.0};
constexpr engine_demand long_outputs{2.0, 6.0};

/** The result of a run with square-wave demand. */
struct wave_result
{
    int changes = 0;
    double loss = 0;
};

/** Runs a work function against square-wave demand for one hour. */
wave_result run_square_wave(double change_cost, int half_period,
                            std::mt19937& random)
{
    const work_function_settings settings{change_cost, 0.75, 1};
    role_work_function work_function;
    role_split split{4, 5, 1};
    work_function.prepare(settings, split);
    wave_result result;
    const int offset = static_cast<int>(random() % 100);
    for (int second = 0; second < 3600; ++second)
    {
        const bool is_prefill_phase = (second + offset) / half_period % 2 == 0;
        const engine_demand demand =
            is_prefill_phase ? long_prompts : long_outputs;
        result.loss += loss_rate(split, demand, settings.mixed_efficiency);
        work_function.charge(demand, seconds(1));
        const role_split target = work_function.target(split);
        result.changes += changes_between(split, target);
        split = target;
    }
    return result;
}

/** The guarantee of rent-or-buy: the total cost of changes does not exceed the
    losses incurred. */
bool is_cost_covered_by_loss(const wave_result& result, double change_cost)
{
    return result.changes * change_cost <= result.loss + 0.001;
}

} // namespace

BOOST_AUTO_TEST_SUITE(role_work_function_test)

BOOST_AUTO_TEST_CASE(a_change_is_due_when_the_regret_reaches_twice_its_cost)
{
    const work_function_settings settings{20.0, 0.75, 1};
    role_work_function work_function;
    const role_split split{4, 5, 1};
    work_function.prepare(settings, split);
    const role_split better_split{5, 4, 1};
    const double gain = loss_rate(split, long_prompts, 0.75) -
                        loss_rate(better_split, long_prompts, 0.75);
    BOOST_REQUIRE(gain > 0);
    double avoidable_loss = 0;
    while (work_function.target(split) == split)
    {
        BOOST_REQUIRE(avoidable_loss < 3 * settings.change_cost);
        work_function.charge(long_prompts, seconds(1));
        avoidable_loss += gain;
    }
    BOOST_TEST(avoidable_loss >= 2 * settings.change_cost);
    BOOST_TEST(avoidable_loss <= 2 * settings.change_cost + gain);
}

BOOST_AUTO_TEST_CASE(change_costs_on_square_waves_are_covered_by_losses)
{
    std::mt19937 random(11);
    for (const int half_period : {1, 3, 10, 30, 100, 300, 900, 1800})
    {
        for (const double cost : {10.0, 27.0, 80.0})
        {
            const wave_result result =
                run_square_wave(cost, half_period, random);
            BOOST_TEST(is_cost_covered_by_loss(result, cost),
                       "half period " << half_period << " cost " << cost);
        }
    }
}

BOOST_AUTO_TEST_CASE(short_square_waves_cause_few_changes)
{
    std::mt19937 random(12);
    // Only the changes to the best split for the mean demand are allowed.
    for (const int half_period : {1, 3})
        BOOST_TEST(run_square_wave(27.0, half_period, random).changes <= 10);
}

BOOST_AUTO_TEST_CASE(the_cost_check_detects_an_understated_change_cost)
{
    std::mt19937 random(13);
    // Injected fault: the rule assumes a change cost far below the actual one.
    const wave_result understated_cost_result =
        run_square_wave(0.5, 10, random);
    BOOST_TEST(!is_cost_covered_by_loss(understated_cost_result, 27.0));
}

BOOST_AUTO_TEST_CASE(large_pools_are_counted_in_blocks)
{
    role_work_function work_function;
    const role_split split{300, 400, 40};
    work_function.prepare({10.0, 0.75, 4}, split);
    for (int second = 0; second < 600; ++second)
        work_function.charge({500.0, 100.0}, seconds(1));
    const role_split target = work_function.target(split);
    BOOST_TEST(target.engines() == split.engines());
    BOOST_TEST(target.prefill > 450);
    BOOST_TEST(target.mixed >= 4);
}

BOOST_AUTO_TEST_SUITE_END()
