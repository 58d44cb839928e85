#include "gateway/authority/memory_store.hpp"
#include "gateway/state/fake_store.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using std::chrono::milliseconds;

namespace
{

process_settings settings_of_process(const std::string& host,
                                     const std::string& region)
{
    process_settings settings = test_process_settings();
    settings.host = host;
    settings.region = region;
    return settings;
}

host_settings settings_of_host(const std::string& host,
                               const std::string& region)
{
    host_settings settings = test_host_settings();
    settings.host = host;
    settings.region = region;
    settings.regions = {region};
    settings.availability_zone = region + "-a";
    return settings;
}

/** The part of a process that competes for the authority. */
struct host
{
    host(const std::string& name, const std::string& region,
         memory_table& table)
        : core("gateway", settings_of_process(name, region))
        , fleet(core, settings_of_host(name, region))
        , feed(core)
        , store(core.context(), table)
        , follower(core, fleet, {feed, store, records})
        , datagrams(core, datagram_endpoint("127.0.0.1", 0))
        , exchange(core, fleet, follower, datagrams)
        , authority(core, fleet, follower, exchange, store)
    {
        fleet.mark_target_list_received();
        BOOST_REQUIRE(authority.start().has_value());
    }

    ~host()
    {
        authority.stop();
    }

    host(const host&) = delete;
    host& operator=(const host&) = delete;

    void run(milliseconds duration)
    {
        core.context().restart();
        core.context().run_for(duration);
    }

    process_core core;
    fleet_state fleet;
    fake_feed feed;
    memory_store store;
    fake_records records;
    state_follower follower;
    datagram_channel datagrams;
    load_exchange exchange;
    fleet_authority authority;
};

} // namespace

BOOST_AUTO_TEST_SUITE(fleet_authority_test)

// Guards against a holder in each region, of which two use one fencing number:
// the lease was named after the region of the host.
BOOST_AUTO_TEST_CASE(hosts_of_two_regions_have_one_holder)
{
    memory_table table;
    host first("host-1", "r1", table);
    host second("host-2", "r2", table);
    for (int turn = 0; turn < 80; ++turn)
    {
        first.run(milliseconds(10));
        second.run(milliseconds(10));
        const bool first_acts = first.authority.may_act(first.core.now());
        const bool second_acts = second.authority.may_act(second.core.now());
        BOOST_REQUIRE(!(first_acts && second_acts));
    }
    const bool first_acts = first.authority.may_act(first.core.now());
    const bool second_acts = second.authority.may_act(second.core.now());
    BOOST_TEST((first_acts || second_acts));
    const std::string holder = first_acts ? "host-1" : "host-2";
    BOOST_TEST(first.authority.holder() == holder);
    BOOST_TEST(second.authority.holder() == holder);
}

BOOST_AUTO_TEST_CASE(first_holder_is_not_one_whose_predecessor_had_a_region)
{
    memory_table table;
    lease_record former;
    former.fencing_number = 7;
    former.write_id = "w";
    table.commit({"w", {}, {{lease_key("another", "stages"), former.text()}}});
    host successor("host-1", "r1", table);
    successor.run(milliseconds(800));
    BOOST_REQUIRE(successor.authority.may_act(successor.core.now()));
    BOOST_TEST(successor.authority.fencing_number() == 8U);
    BOOST_TEST(!successor.authority.is_first_holder());
    BOOST_TEST(!successor.authority.may_begin_duties(successor.core.now()));
}

BOOST_AUTO_TEST_SUITE_END()
