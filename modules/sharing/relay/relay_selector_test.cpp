#include "sharing/sharing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const std::vector<std::string> three_hosts{"h1", "h2", "h3"};

time_point at(int milliseconds)
{
    return time_point{std::chrono::milliseconds(milliseconds)};
}

} // namespace

BOOST_AUTO_TEST_SUITE(relay_selector_test)

BOOST_AUTO_TEST_CASE(the_first_candidate_is_the_relay)
{
    relay_selector first("h1", {});
    relay_selector second("h2", {});
    first.set_candidates(three_hosts, at(1000));
    second.set_candidates(three_hosts, at(1000));
    BOOST_TEST(first.is_relay(at(1000)));
    BOOST_TEST(!second.is_relay(at(1000)));
    BOOST_TEST(second.relay(at(1000)).value() == "h1");
}

BOOST_AUTO_TEST_CASE(a_host_without_candidates_is_the_relay)
{
    relay_selector alone("h1", {});
    BOOST_TEST(alone.is_relay(at(0)));
}

BOOST_AUTO_TEST_CASE(an_unresponsive_relay_is_excluded_and_then_retried)
{
    relay_selector selector("h3", {});
    selector.set_candidates(three_hosts, at(1000));
    selector.record_response("h1", true, at(1200));
    BOOST_TEST(selector.relay(at(1400)).value() == "h1");
    BOOST_TEST(selector.relay(at(1501)).value() == "h2");
    selector.record_response("h2", true, at(1600));
    selector.record_response("h2", true, at(2400));
    BOOST_TEST(selector.relay(at(2490)).value() == "h2");
    BOOST_TEST(selector.relay(at(2502)).value() == "h1");
}

BOOST_AUTO_TEST_CASE(the_retry_delay_of_an_unresponsive_relay_doubles)
{
    relay_selector selector("h2", {});
    selector.set_candidates({"h1", "h2"}, at(1000));
    BOOST_TEST(selector.is_relay(at(1301))); // Excluded until 2301.
    BOOST_TEST(!selector.is_relay(at(2302)));
    BOOST_TEST(selector.is_relay(at(2603))); // Excluded until 4603.
    BOOST_TEST(selector.is_relay(at(4602)));
    BOOST_TEST(!selector.is_relay(at(4604)));
}

BOOST_AUTO_TEST_CASE(a_relay_with_outdated_state_is_excluded)
{
    relay_selector selector("h2", {});
    selector.set_candidates(three_hosts, at(1000));
    selector.record_response("h1", false, at(1010));
    BOOST_TEST(selector.is_relay(at(1010)));
}

BOOST_AUTO_TEST_CASE(a_host_that_cannot_reach_the_store_is_not_eligible)
{
    relay_selector selector("h1", {});
    selector.set_candidates(three_hosts, at(1000));
    selector.set_self_eligible(false);
    BOOST_TEST(selector.relay(at(1000)).value() == "h2");
    selector.set_self_eligible(true);
    BOOST_TEST(selector.is_relay(at(1100)));
}

// When all hosts of a zone lose the table service, none is eligible, and each
// host acts as its own relay.
BOOST_AUTO_TEST_CASE(without_an_eligible_host_each_is_the_relay)
{
    relay_selector selector("h1", {});
    selector.set_candidates({"h1", "h2"}, at(1000));
    selector.set_self_eligible(false);
    selector.record_response("h2", false, at(1010));
    BOOST_TEST(selector.is_relay(at(1010)));
}

BOOST_AUTO_TEST_CASE(this_host_is_never_the_relay_of_another_zone)
{
    relay_selector selector("", {});
    selector.set_candidates({"h1"}, at(1000));
    BOOST_TEST(selector.relay(at(1000)).value() == "h1");
    BOOST_TEST(!selector.relay(at(1301)).has_value());
    BOOST_TEST(!selector.is_relay(at(1301)));
}

// The store is silent for the first candidate. It follows the second one, from
// which its state is fresh, but it does not read the store itself. If hosts
// returned to it, the two would follow each other, and nobody would read the
// store.
BOOST_AUTO_TEST_CASE(two_hosts_never_follow_each_other)
{
    relay_selector first("h1", {});
    relay_selector second("h2", {});
    relay_selector third("h3", {});
    for (relay_selector* selector : {&first, &second, &third})
        selector->set_candidates(three_hosts, at(1000));
    first.set_self_eligible(false);
    unsigned changes = 0;
    std::string followed = "h1";
    for (int now_ms = 1000; now_ms < 61000; now_ms += 50)
    {
        const time_point now = at(now_ms);
        std::map<std::string, relay_selector*> selectors{
            {"h1", &first}, {"h2", &second}, {"h3", &third}};
        for (const auto& [name, selector] : selectors)
        {
            const std::optional<std::string> relay = selector->relay(now);
            if (!relay)
                continue;
            selectors.at(*relay)->record_report(now);
            selector->record_response(*relay,
                                      selectors.at(*relay)->is_relay(now), now);
            if (name == "h3" && *relay != followed)
            {
                ++changes;
                followed = *relay;
            }
        }
        if (now_ms < 1200)
            continue;
        BOOST_TEST(first.relay(now).value_or("none") != "none");
        BOOST_TEST(second.is_relay(now));
        BOOST_TEST(!first.is_relay(now));
    }
    // The excluded candidate is tried again at most every eight seconds.
    BOOST_TEST(changes < 30U);
}

BOOST_AUTO_TEST_CASE(a_host_that_others_select_becomes_a_relay_for_a_time)
{
    relay_selector selector("h3", {});
    selector.set_candidates(three_hosts, at(1000));
    selector.record_response("h1", true, at(1000));
    BOOST_TEST(!selector.is_relay(at(1010)));
    selector.record_report(at(1020));
    BOOST_TEST(selector.is_relay(at(1030)));
    selector.record_response("h1", true, at(2000));
    BOOST_TEST(selector.relay(at(2100)).value() == "h1");
    selector.record_report(at(2200));
    selector.set_self_eligible(false);
    BOOST_TEST(!selector.is_relay(at(2210)));
}

BOOST_AUTO_TEST_SUITE_END()
