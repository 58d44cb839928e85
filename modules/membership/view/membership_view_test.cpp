#include "membership/view/membership_simulation_test.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(membership_view_test)

BOOST_AUTO_TEST_CASE(all_hosts_exclude_a_crashed_host_within_20_seconds)
{
    for (std::uint64_t seed = 1; seed <= 5; ++seed)
    {
        membership_simulation simulation(8, {}, seed);
        simulation.run(seconds(10));
        simulation.crash(3);
        // Time for a round of probes, the suspicion and spreading the update.
        simulation.run(seconds(8 + 6 + 6));
        BOOST_TEST(simulation.count("host-3", member_state::excluded) == 7U);
        BOOST_TEST(simulation.false_exclusions() == 0U);
        BOOST_TEST(simulation.view(0).live_hosts().size() == 7U);
    }
}

BOOST_AUTO_TEST_CASE(hosts_rejoin_after_short_and_long_pauses)
{
    membership_simulation simulation(8, {}, 1);
    simulation.run(seconds(10));
    simulation.pause(2, seconds(4));
    simulation.run(seconds(20));
    BOOST_TEST(simulation.exclusions_of_live == 0U);

    simulation.pause(2, seconds(60));
    simulation.run(seconds(50));
    BOOST_TEST(simulation.count("host-2", member_state::excluded) == 7U);
    simulation.run(seconds(40));
    BOOST_TEST(simulation.count("host-2", member_state::alive) == 7U);
    // The paused host does not suspect others because of its own pause.
    BOOST_TEST(simulation.view(2).live_hosts().size() == 8U);
}

BOOST_AUTO_TEST_CASE(message_loss_excludes_no_host)
{
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        membership_simulation simulation(20, {}, seed);
        simulation.faults.loss = 0.05;
        simulation.run(minutes(5));
        BOOST_TEST(simulation.exclusions_of_live == 0U);
    }
}

BOOST_AUTO_TEST_CASE(regions_rejoin_after_a_partition_of_an_hour)
{
    membership_simulation simulation(8, {}, 1);
    simulation.run(seconds(10));
    simulation.faults.are_regions_partitioned = true;
    simulation.run(minutes(60));
    BOOST_TEST(simulation.view(0).live_hosts().size() == 4U);
    BOOST_TEST(simulation.view(0).live_hosts("r1").size() == 4U);
    simulation.faults.are_regions_partitioned = false;
    simulation.run(seconds(60));
    BOOST_TEST(simulation.false_exclusions() == 0U);
}

BOOST_AUTO_TEST_CASE(without_incarnations_a_paused_host_stays_excluded)
{
    membership_simulation simulation(8, {}, 1);
    simulation.faults.drop_incarnations = true;
    simulation.run(seconds(10));
    simulation.pause(2, seconds(60));
    simulation.run(seconds(100));
    BOOST_TEST(simulation.false_exclusions() > 0U);
}

BOOST_AUTO_TEST_CASE(a_replaced_host_is_a_different_member)
{
    membership_simulation simulation(4, {}, 1);
    simulation.run(seconds(10));
    simulation.crash(1);
    const listed_host replacement =
        membership_simulation::listing("host-1-new", "r2");
    simulation.host_list.hosts.at(1) = replacement;
    simulation.start(replacement);
    simulation.publish_list();
    simulation.run(seconds(10));
    BOOST_TEST(!simulation.view(0).find("host-1").has_value());
    BOOST_TEST(simulation.count("host-1-new", member_state::alive) == 3U);
    BOOST_TEST(simulation.view(0)
                   .absent_for("host-1", simulation.now)
                   .value()
                   .count() >= 9000);
    BOOST_TEST(
        !simulation.view(0).absent_for("host-0", simulation.now).has_value());
}

BOOST_AUTO_TEST_CASE(a_planned_stop_is_announced_before_the_list_changes)
{
    membership_simulation simulation(8, {}, 1);
    simulation.run(seconds(10));
    simulation.view(5).leave();
    simulation.run(seconds(6));
    BOOST_TEST(simulation.count("host-5", member_state::leaving) == 7U);
    BOOST_TEST(simulation.view(0).live_hosts().size() == 7U);
    BOOST_TEST(simulation.view(5).live_hosts().size() == 7U);
}

BOOST_AUTO_TEST_CASE(an_older_revision_of_the_list_is_ignored)
{
    membership_view view("a", {}, 1, time_point());
    host_list_snapshot host_list;
    host_list.revision = 5;
    host_list.hosts = {membership_simulation::listing("a", "r1"),
                       membership_simulation::listing("b", "r1")};
    view.apply_host_list(host_list, time_point());
    host_list.revision = 4;
    host_list.hosts.pop_back();
    view.apply_host_list(host_list, time_point());
    BOOST_TEST(view.size() == 2U);
}

BOOST_AUTO_TEST_CASE(messages_and_digests_are_bounded)
{
    membership_simulation simulation(50, {}, 1);
    simulation.faults.loss = 0.05;
    for (std::size_t host = 0; host < simulation.size(); ++host)
    {
        simulation.view(host).set_digest(1, std::string(40, 'c'));
        simulation.view(host).set_digest(2, std::string(40, 'u'));
    }
    for (std::size_t host = 0; host < 10; ++host)
        simulation.crash(host);
    simulation.run(minutes(2));
    // The head, five rumours of at most 16 bytes, and one digest: the second
    // would exceed the size limit.
    BOOST_TEST(simulation.largest_message <= 64U + 5U * 16U + 64U);
    const double elapsed_seconds = 130;
    const double bytes_per_second_and_host =
        static_cast<double>(simulation.bytes) / elapsed_seconds / 40;
    BOOST_TEST(bytes_per_second_and_host < 1024);
}

BOOST_AUTO_TEST_SUITE_END()
