#include "settings/settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const std::string good_settings = R"(host = "entry-1"
region = "nl-west"
availability_zone = "nl-west-a"
peer_key = "0123456789abcdef"
[callers]
address = "127.0.0.1"
port = 8080
)";

} // namespace

BOOST_AUTO_TEST_SUITE(process_settings_test)

BOOST_AUTO_TEST_CASE(good_settings_are_read)
{
    const process_settings_result reading =
        read_process_settings(good_settings, "router.toml");
    BOOST_TEST(to_text(reading.problems) == "");
    BOOST_TEST(reading.settings->callers.port == 8080);
    BOOST_TEST(reading.settings->availability_zone == "nl-west-a");
}

BOOST_AUTO_TEST_CASE(every_problem_has_its_line_and_what_is_allowed)
{
    const process_settings_result reading = read_process_settings(
        "host = 3\nregion = \"nl-west\"\navailability_zone = \"a\"\n"
        "peer_key = \"short\"\npoll_interval_ms = 1\nspeed = 9\n"
        "[callers]\nport = 70000\naddress = \"localhost\"\n",
        "x.toml");
    const std::string problems = to_text(reading.problems);
    BOOST_TEST(!reading.settings.has_value());
    for (const char* expected :
         {"x.toml:1: host must be a text", "x.toml:4: peer_key must have",
          "x.toml:5: poll_interval_ms must be an integer from 100 to 5000",
          "x.toml:6: speed is not a known key",
          "x.toml:8: callers.port must be an integer from 0 to 65535",
          "x.toml:9: callers.address must be an IP number"})
        BOOST_TEST(problems.find(expected) != std::string::npos,
                   expected << " not in:\n"
                            << problems);
}

BOOST_AUTO_TEST_CASE(broken_toml_is_one_problem_with_its_line)
{
    const process_settings_result reading =
        read_process_settings("host = \"a\"\n= 3\n", "x.toml");
    BOOST_TEST(reading.problems.at(0).line == 0U, "missing keys come first");
    BOOST_TEST(to_text(reading.problems).find("x.toml:2: ") !=
               std::string::npos);
}

BOOST_AUTO_TEST_CASE(a_header_without_a_name_is_a_problem)
{
    for (const char* text : {"[\n", "[= 0.5", "[\a]"})
        BOOST_TEST(!read_process_settings(text, "x.toml").problems.empty());
}

BOOST_AUTO_TEST_SUITE_END()
