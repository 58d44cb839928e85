#include "configuration/testing/configuration_simulation.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;
using namespace hibiscusferry::testing;

namespace
{

constexpr std::uint64_t random_seeds = 150;
constexpr std::uint64_t fault_seeds = 40;

std::size_t breaches_with(fleet_fault injected_fault)
{
    std::size_t breaches = 0;
    for (std::uint64_t seed = 1; seed <= fault_seeds; ++seed)
    {
        breaches += configuration_simulation(seed, injected_fault)
                        .run()
                        .breaches.size();
    }
    return breaches;
}

} // namespace

BOOST_AUTO_TEST_SUITE(configuration_property_test)

BOOST_AUTO_TEST_CASE(accepted_documents_are_active_and_never_revert)
{
    for (std::uint64_t seed = 1; seed <= random_seeds; ++seed)
    {
        const configuration_report report =
            configuration_simulation(seed).run();
        for (const std::string& breach : report.breaches)
            BOOST_ERROR("seed " << seed << ": " << breach);
    }
}

BOOST_AUTO_TEST_CASE(injected_faults_are_detected)
{
    BOOST_TEST(breaches_with(fleet_fault::ignores_conditions) > 0U);
    BOOST_TEST(breaches_with(fleet_fault::forgets_age) > 0U);
    BOOST_TEST(breaches_with(fleet_fault::confirms_for_hosts) > 0U);
}

BOOST_AUTO_TEST_CASE(the_fleet_stays_in_rotation_when_all_hosts_lose_the_store)
{
    event_queue events;
    random_source random(1);
    simulated_fleet fleet(events, random, fleet_settings());
    events.run_until(events.now() + std::chrono::seconds(5));
    for (std::size_t host = 0; host < fleet.size(); ++host)
        fleet.cut_store(host, true);
    events.run_until(events.now() + std::chrono::minutes(5));
    for (std::size_t host = 0; host < fleet.size(); ++host)
        BOOST_TEST(
            (fleet.replica(host).rotation() == rotation_state::store_lost));

    // A restarted host returns to rotation only after replies from most of
    // its region; a host that receives no replies leaves the rotation.
    fleet.restart(0);
    fleet.set_group(1, 1);
    BOOST_TEST(!fleet.replica(0).is_in_rotation());
    events.run_until(events.now() + std::chrono::seconds(30));
    BOOST_TEST(fleet.replica(0).is_in_rotation());
    BOOST_TEST(!fleet.replica(1).is_in_rotation());
}

BOOST_AUTO_TEST_SUITE_END()
