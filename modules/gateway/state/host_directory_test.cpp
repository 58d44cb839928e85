#include "gateway/gateway.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

table_row row_of(const host_record& host)
{
    table_row row;
    row.value = host.text();
    return row;
}

} // namespace

BOOST_AUTO_TEST_SUITE(host_directory_test)

BOOST_AUTO_TEST_CASE(the_serving_hosts_are_listed_with_their_endpoints)
{
    host_directory directory;
    BOOST_TEST(directory.serving_hosts().empty());
    const std::uint64_t empty_revision = directory.revision();
    directory.set_rows(
        {{"h1", row_of({"h1", "zone-1", "127.0.0.1", 7660, 1, true})},
         {"h2", row_of({"h2", "zone-2", "127.0.0.2", 7661, 1, true})},
         {"h3", row_of({"h3", "zone-1", "127.0.0.3", 7662, 1, false})}},
        time_point{});
    BOOST_TEST(directory.revision() != empty_revision);
    const std::vector<peer_host> hosts = directory.serving_hosts();
    BOOST_REQUIRE(hosts.size() == 2U);
    BOOST_TEST(hosts[1].host == "h2");
    BOOST_TEST(hosts[1].availability_zone == "zone-2");
    BOOST_TEST(hosts[1].address == "127.0.0.2");
    BOOST_TEST(hosts[1].port == 7661);
}

BOOST_AUTO_TEST_SUITE_END()
