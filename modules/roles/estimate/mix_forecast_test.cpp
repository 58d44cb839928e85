#include "roles/roles.hpp"

#include <boost/test/unit_test.hpp>
#include <cmath>
#include <random>

using namespace hibiscusferry;

namespace
{

time_point time_at(int second)
{
    return time_point(std::chrono::hours(1)) + std::chrono::seconds(second);
}

engine_demand square_wave(int second, int period)
{
    return second / (period / 2) % 2 == 0 ? engine_demand{6, 2}
                                          : engine_demand{2, 6};
}

} // namespace

BOOST_AUTO_TEST_SUITE(mix_forecast_test)

BOOST_AUTO_TEST_CASE(a_period_is_learned_and_predicted)
{
    mix_forecast forecast;
    std::mt19937 random(3);
    std::normal_distribution<double> noise(0, 0.3);
    for (int second = 0; second < 2000; ++second)
    {
        engine_demand demand = square_wave(second, 400);
        demand.prefill += noise(random);
        forecast.observe(demand, time_at(second));
    }
    BOOST_TEST(forecast.trusted_period() == 40u);
    const std::vector<engine_demand> predicted_demand =
        forecast.predict(std::chrono::seconds(0), 40);
    BOOST_REQUIRE(predicted_demand.size() == 40u);
    for (int slot = 0; slot < 40; ++slot)
        BOOST_TEST(
            std::abs(predicted_demand[static_cast<std::size_t>(slot)].decode -
                     square_wave(1990 + slot * 10, 400).decode) < 0.5);
}

BOOST_AUTO_TEST_CASE(a_period_in_noise_is_not_trusted)
{
    mix_forecast forecast;
    std::mt19937 random(4);
    std::normal_distribution<double> noise(0, 1.0);
    double drift = 0;
    int trusted_seconds = 0;
    for (int second = 0; second < 3000; ++second)
    {
        drift = 0.97 * drift + 0.25 * noise(random);
        forecast.observe({4 + drift, 4 - drift}, time_at(second));
        trusted_seconds += forecast.trusted_period() != 0 ? 1 : 0;
    }
    BOOST_TEST(trusted_seconds < 300);
}

BOOST_AUTO_TEST_CASE(a_period_that_ends_is_no_longer_trusted)
{
    mix_forecast forecast;
    for (int second = 0; second < 2000; ++second)
        forecast.observe(square_wave(second, 400), time_at(second));
    BOOST_REQUIRE(forecast.trusted_period() != 0);
    std::mt19937 random(5);
    for (int second = 2000; second < 4000; ++second)
        forecast.observe(square_wave(static_cast<int>(random() % 400), 400),
                         time_at(second));
    BOOST_TEST(forecast.trusted_period() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
