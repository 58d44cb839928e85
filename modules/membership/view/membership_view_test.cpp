#include "membership/view/membership_simulation_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_view_test)

BOOST_AUTO_TEST_CASE(a_crashed_host_is_excluded_by_all_in_time)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        membership_simulation world(8, {}, seed);
        world.run(seconds(10));
        world.crash(3);
        // A round of probes, the suspicion, and the news.
        world.run(seconds(8 + 6 + 6));
        BOOST_TEST(world.count("host-3", member_state::excluded) == 7U);
        BOOST_TEST(world.false_exclusions() == 0U);
        BOOST_TEST(world.view(0).live_hosts().size() == 7U);
    }
}

BOOST_AUTO_TEST_CASE(a_short_pause_is_refuted_and_a_long_one_is_made_good)
{
    membership_simulation world(8, {}, 1);
    world.run(seconds(10));
    world.pause(2, seconds(4));
    world.run(seconds(20));
    BOOST_TEST(world.exclusions_of_live == 0U);

    world.pause(2, seconds(60));
    world.run(seconds(50));
    BOOST_TEST(world.count("host-2", member_state::excluded) == 7U);
    world.run(seconds(40));
    BOOST_TEST(world.count("host-2", member_state::alive) == 7U);
    // The paused host blames no one for its own pause.
    BOOST_TEST(world.view(2).live_hosts().size() == 8U);
}

BOOST_AUTO_TEST_CASE(loss_of_messages_excludes_no_one)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        membership_simulation world(20, {}, seed);
        world.faults.loss = 0.05;
        world.run(minutes(5));
        BOOST_TEST(world.exclusions_of_live == 0U);
    }
}

BOOST_AUTO_TEST_CASE(regions_apart_for_an_hour_join_again)
{
    membership_simulation world(8, {}, 1);
    world.run(seconds(10));
    world.faults.regions_apart = true;
    world.run(minutes(60));
    BOOST_TEST(world.view(0).live_hosts().size() == 4U);
    BOOST_TEST(world.view(0).live_hosts("r1").size() == 4U);
    world.faults.regions_apart = false;
    world.run(seconds(60));
    BOOST_TEST(world.false_exclusions() == 0U);
}

BOOST_AUTO_TEST_CASE(without_incarnations_a_paused_host_stays_excluded)
{
    membership_simulation world(8, {}, 1);
    world.faults.drop_incarnations = true;
    world.run(seconds(10));
    world.pause(2, seconds(60));
    world.run(seconds(100));
    BOOST_TEST(world.false_exclusions() > 0U);
}

BOOST_AUTO_TEST_CASE(a_host_replaced_under_its_address_is_another_host)
{
    membership_simulation world(4, {}, 1);
    world.run(seconds(10));
    world.crash(1);
    const listed_host replacement =
        membership_simulation::listing("host-1-new", "r2");
    world.reading.hosts.at(1) = replacement;
    world.start(replacement);
    world.publish_list();
    world.run(seconds(10));
    BOOST_TEST(!world.view(0).find("host-1").has_value());
    BOOST_TEST(world.count("host-1-new", member_state::alive) == 3U);
    BOOST_TEST(world.view(0).absent_for("host-1", world.now).value().count() >=
               9000);
    BOOST_TEST(!world.view(0).absent_for("host-0", world.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_is_known_before_the_list_says_so)
{
    membership_simulation world(8, {}, 1);
    world.run(seconds(10));
    world.view(5).leave();
    world.run(seconds(6));
    BOOST_TEST(world.count("host-5", member_state::leaving) == 7U);
    BOOST_TEST(world.view(0).live_hosts().size() == 7U);
    BOOST_TEST(world.view(5).live_hosts().size() == 7U);
}

BOOST_AUTO_TEST_CASE(an_older_readingof_the_list_is_ignored)
{
    membership_view view("a", {}, 1, time_point());
    host_list_snapshot reading;
    reading.revision = 5;
    reading.hosts = {membership_simulation::listing("a", "r1"),
                     membership_simulation::listing("b", "r1")};
    view.apply_host_list(reading, time_point());
    reading.revision = 4;
    reading.hosts.pop_back();
    view.apply_host_list(reading, time_point());
    BOOST_TEST(view.size() == 2U);
}

BOOST_AUTO_TEST_CASE(messages_and_digests_are_bounded)
{
    membership_simulation world(50, {}, 1);
    world.faults.loss = 0.05;
    for (std::size_t host = 0; host < world.size(); ++host)
    {
        world.view(host).set_digest(1, std::string(40, 'c'));
        world.view(host).set_digest(2, std::string(40, 'u'));
    }
    for (std::size_t host = 0; host < 10; ++host)
        world.crash(host);
    world.run(minutes(2));
    // The head, five rumours of at most 16 bytes, one digest that fits.
    BOOST_TEST(world.largest_message <= 64U + 5U * 16U + 64U);
    const double seconds_run = 130;
    const double rate = static_cast<double>(world.bytes) / seconds_run / 40;
    BOOST_TEST(rate < 1024);
}

BOOST_AUTO_TEST_SUITE_END()
