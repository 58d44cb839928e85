#include "storage/testing/platform_server.hpp"

using namespace hibiscusferry;

namespace
{

result<host_list_reading> read_host_list(const std::string& body)
{
    platform_server server(json_response(200, body));
    http_host_list list(server.service());
    return server.await<host_list_reading>(
        [&](const host_list::read_handler& handler)
        { list.read(std::chrono::milliseconds(5000), handler); });
}

std::string host_json(const std::string& kind, const std::string& state,
                      const std::string& port)
{
    return R"({"id":"e1","address":"::1","kind":")" + kind + R"(","state":")" +
           state + R"(","port":)" + port + "}";
}

} // namespace

BOOST_AUTO_TEST_SUITE(http_host_list_test)

BOOST_AUTO_TEST_CASE(hosts_are_read_with_their_kind_and_state)
{
    const host_list_reading reading = read_host_list(R"({"revision":7,"hosts":[
            {"id":"e1","kind":"entry","state":"live","region":"nl-west",
             "availability_zone":"a","address":"127.0.0.1","port":7001},
            {"id":"m1","kind":"model_server","state":"leaving",
             "service":"lunch-assistant","region":"nl-west",
             "availability_zone":"b","address":"::1","port":65535}]})")
                                          .value();
    BOOST_TEST(reading.revision == 7U);
    BOOST_TEST_REQUIRE(reading.hosts.size() == 2U);
    BOOST_TEST((reading.hosts[0].kind == host_kind::entry));
    BOOST_TEST(reading.hosts[0].availability_zone == "a");
    BOOST_TEST((reading.hosts[1].kind == host_kind::model_server));
    BOOST_TEST((reading.hosts[1].state == host_state::leaving));
    BOOST_TEST(reading.hosts[1].service == "lunch-assistant");
    BOOST_TEST(reading.hosts[1].port == 65535U);
}

BOOST_AUTO_TEST_CASE(a_list_with_a_malformed_host_is_refused_whole)
{
    const std::string good = host_json("entry", "live", "1");
    BOOST_TEST(
        read_host_list(R"({"revision":1,"hosts":[)" + good + "]}").has_value());
    const std::string without_id =
        R"({"kind":"entry","state":"live","address":"::1","port":1})";
    for (const std::string& bad :
         {host_json("other", "live", "1"), host_json("entry", "gone", "1"),
          host_json("entry", "live", "0"), host_json("entry", "live", "65536"),
          host_json("entry", "live", "-1"), without_id, std::string("3")})
    {
        std::string body = R"({"revision":1,"hosts":[)";
        body += good;
        body += ",";
        body += bad;
        body += "]}";
        const result<host_list_reading> reading = read_host_list(body);
        BOOST_TEST(reading.error() == platform_error::bad_answer);
    }
}

BOOST_AUTO_TEST_SUITE_END()
