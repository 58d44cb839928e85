#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const std::vector<std::string> three{"h1", "h2", "h3"};

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_line_test)

BOOST_AUTO_TEST_CASE(the_first_of_the_line_is_the_relay)
{
    relay_selector first("h1", {});
    relay_selector second("h2", {});
    first.set_candidates(three, at(1000));
    second.set_candidates(three, at(1000));
    BOOST_TEST(first.is_relay(at(1000)));
    BOOST_TEST(!second.is_relay(at(1000)));
    BOOST_TEST(second.relay(at(1000)).value() == "h1");
}

BOOST_AUTO_TEST_CASE(a_host_alone_is_its_own_relay)
{
    relay_selector alone("h1", {});
    BOOST_TEST(alone.is_relay(at(0)));
}

BOOST_AUTO_TEST_CASE(a_silent_relay_is_passed_over_and_tried_again)
{
    relay_selector line("h3", {});
    line.set_candidates(three, at(1000));
    line.answered("h1", true, at(1200));
    BOOST_TEST(line.relay(at(1400)).value() == "h1");
    BOOST_TEST(line.relay(at(1501)).value() == "h2");
    line.answered("h2", true, at(1600));
    line.answered("h2", true, at(2400));
    BOOST_TEST(line.relay(at(2490)).value() == "h2");
    BOOST_TEST(line.relay(at(2502)).value() == "h1");
}

BOOST_AUTO_TEST_CASE(the_pause_of_a_silent_relay_doubles)
{
    relay_selector line("h2", {});
    line.set_candidates({"h1", "h2"}, at(1000));
    BOOST_TEST(line.is_relay(at(1301))); // Until 2301.
    BOOST_TEST(!line.is_relay(at(2302)));
    BOOST_TEST(line.is_relay(at(2603))); // Until 4603.
    BOOST_TEST(line.is_relay(at(4602)));
    BOOST_TEST(!line.is_relay(at(4604)));
}

BOOST_AUTO_TEST_CASE(a_relay_with_old_news_is_passed_over)
{
    relay_selector line("h2", {});
    line.set_candidates(three, at(1000));
    line.answered("h1", false, at(1010));
    BOOST_TEST(line.is_relay(at(1010)));
}

BOOST_AUTO_TEST_CASE(a_host_that_the_store_does_not_answer_is_no_relay)
{
    relay_selector line("h1", {});
    line.set_candidates(three, at(1000));
    line.set_self_eligible(false);
    BOOST_TEST(line.relay(at(1000)).value() == "h2");
    line.set_self_eligible(true);
    BOOST_TEST(line.is_relay(at(1100)));
}

// All hosts of a zone have lost the store: each goes on by itself.
BOOST_AUTO_TEST_CASE(without_any_fit_host_each_is_its_own_relay)
{
    relay_selector line("h1", {});
    line.set_candidates({"h1", "h2"}, at(1000));
    line.set_self_eligible(false);
    line.answered("h2", false, at(1010));
    BOOST_TEST(line.is_relay(at(1010)));
}

BOOST_AUTO_TEST_CASE(the_line_of_another_zone_has_no_self)
{
    relay_selector line("", {});
    line.set_candidates({"h1"}, at(1000));
    BOOST_TEST(line.relay(at(1000)).value() == "h1");
    BOOST_TEST(!line.relay(at(1301)).has_value());
    BOOST_TEST(!line.is_relay(at(1301)));
}

BOOST_AUTO_TEST_SUITE_END()
