#include "serving/scheduling/serving_fakes.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const time_point now{std::chrono::seconds(1)};

target_list make_servers(const std::vector<std::string>& versions)
{
    target_list servers;
    for (const std::string& version : versions)
    {
        servers.push_back(make_engine("s" + std::to_string(servers.size()), "a",
                                      target_role::mixed));
        servers.back()->record.software_version = version;
    }
    return servers;
}

scheduling_constraints make_constraints()
{
    scheduling_constraints constraints;
    constraints.availability_zone = "a";
    constraints.connection_allowance = 20;
    return constraints;
}

} // namespace

BOOST_AUTO_TEST_SUITE(server_scheduler_test)

BOOST_AUTO_TEST_CASE(only_servers_of_the_required_version_are_selected)
{
    const target_list servers = make_servers({"v2", "v1", "v2", ""});
    manual_clock clock;
    clock.advance(std::chrono::seconds(1));
    const target_load_guard load(servers[1], 0, 0, clock);
    scheduling_constraints constraints = make_constraints();
    scheduling_failure reason = scheduling_failure::busy;
    constraints.software_version = "v1";
    BOOST_TEST(server_scheduler::schedule(servers, constraints, now, reason) ==
               servers[1]);
    constraints.software_version = "";
    BOOST_TEST(server_scheduler::schedule(servers, constraints, now, reason) ==
               servers[3]);
    constraints.software_version.reset();
    BOOST_TEST(server_scheduler::schedule(servers, constraints, now, reason) !=
               servers[1]);
}

BOOST_AUTO_TEST_CASE(idle_servers_of_other_versions_are_no_replacement)
{
    const target_list servers = make_servers({"v2", "v1"});
    scheduling_constraints constraints = make_constraints();
    constraints.software_version = "v3";
    scheduling_failure reason = scheduling_failure::busy;
    BOOST_TEST(!server_scheduler::schedule(servers, constraints, now, reason));
    BOOST_TEST((reason == scheduling_failure::no_target));

    constraints.software_version = "v1";
    constraints.excluded = {"s1"};
    BOOST_TEST(!server_scheduler::schedule(servers, constraints, now, reason));
    BOOST_TEST((reason == scheduling_failure::no_target));
}

BOOST_AUTO_TEST_SUITE_END()
