#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>
#include <random>

using namespace hibiscusferry;

namespace
{

using milliseconds = std::chrono::duration<double, std::milli>;

const time_point start{std::chrono::seconds(10)};

/** An engine that processes one prompt after another. */
struct simulated_engine
{
    double offset_ms = 0;
    double ms_per_token = 0;

    /** Adds exchanges of prompts whose lengths vary by an order of magnitude
        and that wait for up to four prompts of which a part is unknown.
        @returns the median relative error of the estimates of the second half
    */
    double learn(duration_model& model, int exchanges)
    {
        std::mt19937 random(7);
        std::lognormal_distribution<double> lengths(7.5, 0.8);
        std::uniform_int_distribution<int> queue_lengths(0, 4);
        std::uniform_real_distribution<double> unknown_share(0, 0.3);
        std::vector<double> errors;
        for (int exchange = 0; exchange < exchanges; ++exchange)
        {
            const time_point now =
                start + std::chrono::milliseconds(20 * exchange);
            const double own_tokens = lengths(random);
            double queued_tokens = 0;
            for (int count = queue_lengths(random); count > 0; --count)
                queued_tokens += lengths(random);
            const double known_tokens =
                own_tokens + queued_tokens * (1 - unknown_share(random));
            const double duration_ms =
                offset_ms + ms_per_token * (own_tokens + queued_tokens);
            const linear_duration expected = model.estimate(now);
            if (exchange >= exchanges / 2)
                errors.push_back(std::abs(expected.milliseconds(known_tokens) -
                                          duration_ms) /
                                 duration_ms);
            model.add(known_tokens, own_tokens, milliseconds(duration_ms),
                      own_tokens / known_tokens, now);
        }
        std::sort(errors.begin(), errors.end());
        return errors[errors.size() / 2];
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(duration_model_test)

BOOST_AUTO_TEST_CASE(nothing_is_known_before_a_few_exchanges)
{
    duration_model model;
    BOOST_TEST(!model.estimate(start).is_known);
    BOOST_TEST(model.estimate(start).milliseconds(9000) == 0);
    for (int exchange = 0; exchange < 3; ++exchange)
        model.add(1000, 1000, milliseconds(30), 1, start);
    BOOST_TEST(model.estimate(start).is_known);
    BOOST_TEST(model.estimate(start).milliseconds(1000) == 30,
               boost::test_tools::tolerance(0.35));
}

// Engines of other deployments are up to thirty times slower or faster. With a
// constant speed, the expected time of a prompt was wrong by a factor of 27,
// and clients left while their prompts were still queued.
BOOST_AUTO_TEST_CASE(engines_of_any_speed_are_estimated_within_a_quarter)
{
    for (const double ms_per_token : {1.0 / 1000, 1.0 / 341, 1.0 / 36.7, 0.3})
    {
        for (const double offset_ms : {0.5, 20.0})
        {
            duration_model model;
            simulated_engine engine{offset_ms, ms_per_token};
            BOOST_TEST(engine.learn(model, 120) < 0.25);
        }
    }
}

BOOST_AUTO_TEST_CASE(exchanges_that_hang_have_limited_influence)
{
    duration_model model;
    simulated_engine engine{5, 0.01};
    engine.learn(model, 200);
    const time_point now = start + std::chrono::seconds(4);
    const double expected_ms = model.estimate(now).milliseconds(5000);
    for (int exchange = 0; exchange < 4; ++exchange)
        model.add(5000, 5000, milliseconds(60000), 1, now);
    BOOST_TEST(model.estimate(now).milliseconds(5000) < 1.35 * expected_ms);
}

BOOST_AUTO_TEST_CASE(a_change_of_speed_is_followed)
{
    duration_model model;
    for (int exchange = 0; exchange < 300; ++exchange)
        model.add(2000, 2000, milliseconds(20), 1,
                  start + std::chrono::milliseconds(20 * exchange));
    const time_point change = start + std::chrono::seconds(6);
    for (int exchange = 0; exchange < 1500; ++exchange)
        model.add(2000, 2000, milliseconds(60), 1,
                  change + std::chrono::milliseconds(20 * exchange));
    BOOST_TEST(
        model.estimate(change + std::chrono::seconds(30)).milliseconds(2000) ==
            60,
        boost::test_tools::tolerance(0.15));
}

BOOST_AUTO_TEST_CASE(a_host_without_exchanges_uses_those_of_other_hosts)
{
    duration_model experienced;
    simulated_engine{5, 0.027}.learn(experienced, 120);
    const time_point now = start + std::chrono::seconds(3);
    duration_model restarted;
    restarted.set_remote(experienced.local(now), now);
    BOOST_TEST(restarted.estimate(now).is_known);
    BOOST_TEST(restarted.estimate(now).milliseconds(4000) ==
                   experienced.estimate(now).milliseconds(4000),
               boost::test_tools::tolerance(0.001));
}

BOOST_AUTO_TEST_CASE(the_demand_scales_steps_to_one_generation)
{
    engine_performance performance;
    for (int exchange = 0; exchange < 60; ++exchange)
    {
        performance.add(engine_step::prefill, 6000, 3000, milliseconds(60), 0.5,
                        start);
        performance.add(engine_step::transfer, 9000, 9000, milliseconds(8), 1,
                        start);
    }
    BOOST_TEST(!performance.demand(start).has_value());
    for (int exchange = 0; exchange < 45; ++exchange)
        performance.add(engine_step::decode, 10, 10, milliseconds(90), 1,
                        start);
    const stage_demand demand = performance.demand(start).value();
    BOOST_TEST(demand.prefill_ms == 30, boost::test_tools::tolerance(0.05));
    BOOST_TEST(demand.fetched_tokens == 9000,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(demand.slot_ms == 90, boost::test_tools::tolerance(0.01));
}

BOOST_AUTO_TEST_SUITE_END()
