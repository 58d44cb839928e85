#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

time_point at_ms(int milliseconds)
{
    return time_point{std::chrono::seconds(100) +
                      std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(observed_health_test)

BOOST_AUTO_TEST_CASE(the_quarantine_of_an_unresponsive_target_doubles)
{
    observed_health health;
    BOOST_TEST(health.is_usable(at_ms(0)));
    health.record(exchange_outcome::unreachable, at_ms(0));
    BOOST_TEST(!health.is_usable(at_ms(399)));
    BOOST_TEST(health.is_usable(at_ms(400)));
    BOOST_TEST(health.is_probing(at_ms(400)));
    health.record(exchange_outcome::timed_out, at_ms(400));
    BOOST_TEST(!health.is_usable(at_ms(1199)));
    BOOST_TEST(health.is_usable(at_ms(1200)));
    health.record(exchange_outcome::responded, at_ms(1200));
    BOOST_TEST(!health.is_probing(at_ms(1200)));
}

// In a burst, some requests to an overloaded engine time out while others still
// succeed. Treating such an engine as unavailable moves its load to the other
// engines and overloads them as well.
BOOST_AUTO_TEST_CASE(an_overloaded_target_is_not_quarantined)
{
    observed_health health;
    for (int elapsed_ms = 0; elapsed_ms < 3000; elapsed_ms += 100)
    {
        health.record(exchange_outcome::timed_out, at_ms(elapsed_ms));
        health.record(exchange_outcome::responded, at_ms(elapsed_ms + 40));
        health.record(exchange_outcome::responded, at_ms(elapsed_ms + 50));
        BOOST_TEST(health.is_usable(at_ms(elapsed_ms + 60)));
    }
    health.record(exchange_outcome::shed, at_ms(3000));
    health.record(exchange_outcome::timed_out, at_ms(3100));
    BOOST_TEST(health.is_usable(at_ms(3100)));
}

BOOST_AUTO_TEST_CASE(a_target_that_breaks_most_responses_is_quarantined)
{
    observed_health health;
    int broken_count = 0;
    while (health.is_usable(at_ms(broken_count)) && broken_count < 100)
        health.record(exchange_outcome::broken, at_ms(broken_count++));
    BOOST_TEST(broken_count < 20);

    observed_health application_server;
    for (int request = 0; request < 1000; ++request)
    {
        const bool is_error = request % 7 == 0;
        application_server.record(is_error ? exchange_outcome::failed
                                           : exchange_outcome::responded,
                                  at_ms(request));
        BOOST_TEST(application_server.is_usable(at_ms(request)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
