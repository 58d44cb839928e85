#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

time_point at(int milliseconds)
{
    return time_point{std::chrono::seconds(100) +
                      std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(observed_health_test)

BOOST_AUTO_TEST_CASE(a_target_that_answers_nobody_is_set_aside_ever_longer)
{
    observed_health health;
    BOOST_TEST(health.is_usable(at(0)));
    health.record(exchange_outcome::unreachable, at(0));
    BOOST_TEST(!health.is_usable(at(399)));
    BOOST_TEST(health.is_usable(at(400)));
    BOOST_TEST(health.is_probing(at(400)));
    health.record(exchange_outcome::silent, at(400));
    BOOST_TEST(!health.is_usable(at(1199)));
    BOOST_TEST(health.is_usable(at(1200)));
    health.record(exchange_outcome::answered, at(1200));
    BOOST_TEST(!health.is_probing(at(1200)));
}

// Seen on vandijk-dagtocht quiet-1: engines that were late in a burst were
// taken for dead, and their load went to the others.
BOOST_AUTO_TEST_CASE(an_overloaded_target_is_not_taken_for_dead)
{
    observed_health health;
    for (int moment = 0; moment < 3000; moment += 100)
    {
        health.record(exchange_outcome::silent, at(moment));
        health.record(exchange_outcome::answered, at(moment + 40));
        health.record(exchange_outcome::answered, at(moment + 50));
        BOOST_TEST(health.is_usable(at(moment + 60)));
    }
    health.record(exchange_outcome::shed, at(3000));
    health.record(exchange_outcome::silent, at(3100));
    BOOST_TEST(health.is_usable(at(3100)));
}

BOOST_AUTO_TEST_CASE(a_target_that_breaks_off_most_answers_is_set_aside)
{
    observed_health health;
    int broken = 0;
    while (health.is_usable(at(broken)) && broken < 100)
        health.record(exchange_outcome::broken, at(broken++));
    BOOST_TEST(broken < 20);

    observed_health application;
    for (int request = 0; request < 1000; ++request)
    {
        const bool is_error = request % 7 == 0;
        application.record(is_error ? exchange_outcome::failed
                                    : exchange_outcome::answered,
                           at(request));
        BOOST_TEST(application.is_usable(at(request)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
