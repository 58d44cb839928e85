#include "gateway/state/fake_store.hpp"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

using std::chrono::milliseconds;

/** A host that hears of another one with a newer configuration, and cannot
    fetch it. */
struct overdue_fixture
{
    explicit overdue_fixture(int bound)
        : core("gateway", test_process_settings())
        , fleet(core, settings_for(bound))
        , feed(core)
        , store(core.context())
        , follower(core, fleet, {feed, store, records})
    {
        feed.put("operator/configuration", "1");
        feed.put("hosts/host-1", "");
        follower.set_relay(false);
        BOOST_REQUIRE(follower.start().has_value());
        run(milliseconds(300));
        BOOST_REQUIRE(fleet.routes() != nullptr);
    }

    static host_settings settings_for(int bound)
    {
        host_settings settings = test_host_settings();
        settings.max_configuration_delay = milliseconds(bound);
        return settings;
    }

    void hear_of_version(row_version version)
    {
        host_record unreachable;
        unreachable.host = "host-2";
        unreachable.address = "127.0.0.1";
        unreachable.port = 1;
        replica_positions positions = follower.replicas().positions(core.now());
        positions.front().as_of.version = version;
        ++positions.front().digest;
        follower.apply_positions(unreachable, positions, core.now());
    }

    void run(milliseconds duration)
    {
        core.context().restart();
        core.context().run_for(duration);
    }

    bool is_overdue()
    {
        return fleet.is_configuration_overdue(core.now());
    }

    process_core core;
    fleet_state fleet;
    fake_feed feed;
    fake_store store;
    fake_records records;
    state_follower follower;
};

const std::vector<int> bounds{1000, 2000};
constexpr row_version newer_version = 100;

} // namespace

BOOST_AUTO_TEST_SUITE(overdue_configuration_test)

BOOST_DATA_TEST_CASE(requests_are_refused_before_the_bound_has_passed,
                     boost::unit_test::data::make(bounds), bound)
{
    overdue_fixture fixture(bound);
    fixture.feed.is_cut_off = true;
    fixture.hear_of_version(newer_version);
    fixture.run(milliseconds(bound / 2));
    BOOST_TEST(!fixture.is_overdue());
    fixture.run(milliseconds(bound / 2));
    BOOST_TEST(fixture.is_overdue());
}

// Otherwise all hosts would refuse everything while the store is away.
BOOST_AUTO_TEST_CASE(a_host_that_knows_of_no_newer_version_goes_on)
{
    overdue_fixture fixture(bounds.front());
    fixture.feed.is_cut_off = true;
    fixture.run(milliseconds(3 * bounds.front()));
    BOOST_TEST(!fixture.is_overdue());
}

BOOST_AUTO_TEST_CASE(a_host_that_receives_the_version_goes_on)
{
    overdue_fixture fixture(bounds.front());
    fixture.feed.is_cut_off = true;
    fixture.hear_of_version(newer_version);
    fixture.run(milliseconds(bounds.front()));
    BOOST_REQUIRE(fixture.is_overdue());
    fixture.feed.is_cut_off = false;
    fixture.feed.put("operator/configuration", "2");
    fixture.feed.advance_to(newer_version);
    fixture.run(milliseconds(bounds.front()));
    BOOST_TEST(fixture.fleet.routes()->configuration().version == 2U);
    BOOST_TEST(!fixture.is_overdue());
}

BOOST_AUTO_TEST_SUITE_END()
