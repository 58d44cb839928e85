#include "serving/serving.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

route make_route(const std::string& name, const std::string& prefix)
{
    route result;
    result.name = name;
    result.host = "Shop.Example";
    result.prefix = prefix;
    result.services = {{"desk", 90}, {"other", 10}};
    return result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(route_table_test)

BOOST_AUTO_TEST_CASE(the_longest_matching_prefix_of_the_host_wins)
{
    fleet_configuration configuration;
    configuration.routes = {
        std::make_shared<const route>(make_route("short", "/a/")),
        std::make_shared<const route>(make_route("long", "/a/b/"))};
    const route_table table(configuration);
    BOOST_TEST(table.find("shop.example", "/a/b/c")->name == "long");
    BOOST_TEST(table.find("shop.example:80", "/a/x")->name == "short");
    BOOST_TEST(table.find("shop.example", "/a/b")->name == "short");
    BOOST_TEST(table.find("shop.example", "/b/") == nullptr);
    BOOST_TEST(table.find("elsewhere", "/a/") == nullptr);
}

BOOST_AUTO_TEST_CASE(shares_follow_weights_and_a_request_keeps_its_service)
{
    const route split = make_route("split", "/");
    std::size_t other_service_count = 0;
    constexpr std::size_t requests = 10000;
    for (std::size_t number = 0; number < requests; ++number)
    {
        const std::string id = "request-" + std::to_string(number);
        const std::string& service = route_table::select_service(split, id);
        BOOST_TEST(service == route_table::select_service(split, id));
        other_service_count += service == "other" ? 1 : 0;
    }
    BOOST_TEST(other_service_count > requests * 8 / 100);
    BOOST_TEST(other_service_count < requests * 12 / 100);
}

BOOST_AUTO_TEST_SUITE_END()
