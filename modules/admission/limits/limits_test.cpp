#include "admission/admission.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(limits_test)

BOOST_AUTO_TEST_CASE(bucket_keeps_its_rate_with_requests_larger_than_its_burst)
{
    time_point now{};
    token_bucket bucket(10, 20, now);
    double accepted = 0;
    for (int step = 0; step < 10000; ++step)
    {
        accepted += bucket.take(55, now) ? 55 : 0;
        now += std::chrono::milliseconds(100);
    }
    BOOST_TEST(accepted <= 10 * 1000 + 20 + 55);
    BOOST_TEST(accepted >= 10 * 1000 - 55);
}

BOOST_AUTO_TEST_CASE(available_at_returns_when_the_bucket_accepts_again)
{
    time_point now{};
    token_bucket bucket(10, 20, now);
    BOOST_TEST(bucket.take(50, now));
    BOOST_TEST(!bucket.take(1, now));
    const time_point available = bucket.available_at(now);
    BOOST_TEST(!bucket.take(1, available - std::chrono::milliseconds(2)));
    BOOST_TEST(bucket.take(1, available));
}

BOOST_AUTO_TEST_CASE(retries_stay_a_percentage_of_first_attempts)
{
    retry_budget budget(10);
    int retries = 0;
    // Every attempt fails and is retried as long as the budget allows.
    for (int request = 0; request < 1000; ++request)
    {
        budget.record_first_attempt();
        while (budget.take_retry())
            ++retries;
    }
    BOOST_TEST(retries <= 100 + retry_budget::burst);
    BOOST_TEST(retries >= 100);
    retry_budget disabled_budget(0);
    disabled_budget.record_first_attempt();
    BOOST_TEST(!disabled_budget.take_retry());
}

BOOST_AUTO_TEST_CASE(overload_gate_does_not_flap)
{
    overload_gate gate({std::chrono::seconds(2), std::chrono::seconds(1),
                        std::chrono::milliseconds(500),
                        std::chrono::seconds(5)});
    time_point now{};
    int changes = 0;
    // The wait alternates around the upper threshold every 250 ms.
    for (int step = 0; step < 200; ++step)
    {
        now += std::chrono::milliseconds(250);
        const std::chrono::milliseconds wait(step % 2 == 0 ? 2500 : 1500);
        changes += gate.update(wait, now) ? 1 : 0;
    }
    BOOST_TEST(changes == 0);
    for (int step = 0; step < 8; ++step)
    {
        now += std::chrono::milliseconds(250);
        changes += gate.update(std::chrono::seconds(3), now) ? 1 : 0;
    }
    BOOST_TEST(changes == 1);
    BOOST_TEST(gate.is_overloaded());
    for (int step = 0; step < 200; ++step)
    {
        now += std::chrono::milliseconds(250);
        const std::chrono::milliseconds wait(step % 8 == 0 ? 1500 : 100);
        changes += gate.update(wait, now) ? 1 : 0;
    }
    BOOST_TEST(changes == 1);
    for (int step = 0; step < 24; ++step)
    {
        now += std::chrono::milliseconds(250);
        changes += gate.update(std::chrono::milliseconds(100), now) ? 1 : 0;
    }
    BOOST_TEST(changes == 2);
    BOOST_TEST(!gate.is_overloaded());
}

BOOST_AUTO_TEST_CASE(estimates_follow_the_responses_of_each_workspace)
{
    cost_estimator estimator(service_kind::model);
    const request_size size{4000, std::nullopt};
    for (int response = 0; response < 100; ++response)
    {
        estimator.learn("short", size, {800, 20});
        estimator.learn("long", size, {800, 2000});
    }
    const request_cost short_cost = estimator.estimate("short", size);
    BOOST_TEST(short_cost.decode_tokens == 20,
               boost::test_tools::tolerance(0.01));
    BOOST_TEST(short_cost.prefill_tokens == 800,
               boost::test_tools::tolerance(0.01));
    const request_cost capped_cost =
        estimator.estimate("long", {4000, std::uint32_t{100}});
    BOOST_TEST(capped_cost.decode_tokens == 100);
    BOOST_TEST(cost_estimator(service_kind::application)
                   .estimate("short", size)
                   .weighted({}) == 1);
}

BOOST_AUTO_TEST_SUITE_END()
