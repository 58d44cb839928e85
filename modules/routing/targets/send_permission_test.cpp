#include "routing/routing.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

constexpr time_point start{std::chrono::hours(1)};
constexpr std::chrono::milliseconds one_millisecond{1};

routing_announcement announcement(std::uint64_t sequence,
                                  std::vector<std::string> stopped)
{
    return {"levy-llm", {3, sequence}, std::move(stopped), permission_term};
}

} // namespace

BOOST_AUTO_TEST_SUITE(send_permission_test)

BOOST_AUTO_TEST_CASE(a_permission_lapses_a_term_after_its_request)
{
    send_permission permission("router0", "levy-llm");
    BOOST_TEST((permission.check("t0", start) == permission_verdict::lapsed));
    permission.receive(announcement(1, {}), start);
    const time_point end = start + permission_term;
    BOOST_TEST((permission.check("t0", end - one_millisecond) ==
                permission_verdict::permitted));
    BOOST_TEST((permission.check("t0", end) == permission_verdict::lapsed));
    permission.set_fixed_targets({"t1"});
    BOOST_TEST((permission.check("t1", end) == permission_verdict::permitted));
    // The term of a late response is counted from the time of its request.
    permission.receive(announcement(1, {}), start + one_millisecond);
    BOOST_TEST((permission.check("t0", end) == permission_verdict::permitted));
    BOOST_TEST((permission.check("t0", end + one_millisecond) ==
                permission_verdict::lapsed));
}

BOOST_AUTO_TEST_CASE(the_controller_sets_the_term)
{
    send_permission permission("router0", "levy-llm");
    routing_announcement longer = announcement(1, {});
    longer.term = std::chrono::seconds(30);
    permission.receive(longer, start);
    BOOST_TEST((permission.lapses_at() == start + longer.term));
    longer.term = std::chrono::hours(1);
    permission.receive(longer, start);
    BOOST_TEST((permission.lapses_at() == start + max_permission_term));
}

BOOST_AUTO_TEST_CASE(an_older_message_never_revokes_a_confirmed_stop)
{
    send_permission permission("router0", "levy-llm");
    permission.receive(announcement(4, {}), start);
    BOOST_TEST(permission.receive(stop_announcement{"t0", {3, 6}}));
    const stop_confirmation confirmed = permission.confirm("t0", 2);
    BOOST_TEST(confirmed.version.sequence == 6);
    BOOST_TEST(confirmed.in_flight == 2);
    permission.receive(announcement(5, {"t1"}), start);
    BOOST_TEST((permission.check("t0", start) == permission_verdict::stopped));
    BOOST_TEST((permission.check("t1", start) == permission_verdict::stopped));
    permission.receive(announcement(4, {}), start + one_millisecond);
    BOOST_TEST((permission.check("t1", start) == permission_verdict::stopped));
    permission.receive(announcement(7, {}), start);
    BOOST_TEST(
        (permission.check("t0", start) == permission_verdict::permitted));
    // A stop older than the last announcement is not in force and not
    // confirmed.
    BOOST_TEST(!permission.receive(stop_announcement{"t0", {3, 6}}));
    BOOST_TEST(
        (permission.check("t0", start) == permission_verdict::permitted));
}

BOOST_AUTO_TEST_CASE(losing_all_controllers_does_not_stop_all_traffic)
{
    send_permission permission("router0", "levy-llm");
    permission.receive(announcement(1, {}), start);
    const time_point now = start + std::chrono::minutes(1);
    constexpr std::size_t routers = 8;
    BOOST_TEST((permission.check("t0", now) == permission_verdict::lapsed));
    // One more lapsed router than a controller may wait for.
    permission.lapsed_peer_reported("router1", {"t9"}, routers, now);
    BOOST_TEST((permission.check("t0", now) == permission_verdict::permitted));
    BOOST_TEST((permission.check("t9", now) == permission_verdict::lapsed));
    BOOST_TEST((permission.check("t0", now + peer_report_term) ==
                permission_verdict::lapsed));
    // With 370 routers, a controller may wait for 37.
    for (int peer = 1; peer <= 36; ++peer)
        permission.lapsed_peer_reported("router" + std::to_string(peer), {},
                                        370, now);
    BOOST_TEST((permission.check("t0", now) == permission_verdict::lapsed));
    permission.lapsed_peer_reported("router37", {}, 370, now);
    BOOST_TEST((permission.check("t0", now) == permission_verdict::permitted));
}

BOOST_AUTO_TEST_SUITE_END()
