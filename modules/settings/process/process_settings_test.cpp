#include "settings/settings.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

namespace
{

const std::string valid_settings = R"(host = "entry-1"
region = "nl-west"
availability_zone = "nl-west-a"
peer_key = "0123456789abcdef"
[callers]
address = "127.0.0.1"
port = 8080
)";

} // namespace

BOOST_AUTO_TEST_SUITE(process_settings_test)

BOOST_AUTO_TEST_CASE(valid_settings_are_parsed)
{
    const process_settings_result parsed_settings =
        read_process_settings(valid_settings, "router.toml");
    BOOST_TEST(to_text(parsed_settings.problems) == "");
    BOOST_TEST(parsed_settings.settings->callers.port == 8080);
    BOOST_TEST(parsed_settings.settings->availability_zone == "nl-west-a");
}

BOOST_AUTO_TEST_CASE(every_problem_reports_line_and_allowed_values)
{
    const process_settings_result parsed_settings = read_process_settings(
        "host = 3\nregion = \"nl-west\"\navailability_zone = \"a\"\n"
        "peer_key = \"short\"\npoll_interval_ms = 1\nspeed = 9\n"
        "[callers]\nport = 70000\naddress = \"localhost\"\n",
        "x.toml");
    const std::string problems = to_text(parsed_settings.problems);
    BOOST_TEST(!parsed_settings.settings.has_value());
    for (const char* expected :
         {"x.toml:1: host must be a string", "x.toml:4: peer_key must have",
          "x.toml:5: poll_interval_ms must be an integer from 100 to 5000",
          "x.toml:6: speed is not a known key",
          "x.toml:8: callers.port must be an integer from 0 to 65535",
          "x.toml:9: callers.address must be an IP address"})
        BOOST_TEST(problems.find(expected) != std::string::npos,
                   expected << " not in:\n"
                            << problems);
}

BOOST_AUTO_TEST_CASE(invalid_toml_is_reported_with_its_line)
{
    const process_settings_result parsed_settings =
        read_process_settings("host = \"a\"\n= 3\n", "x.toml");
    BOOST_TEST(parsed_settings.problems.at(0).line == 0U,
               "problems of missing keys are listed first");
    BOOST_TEST(to_text(parsed_settings.problems).find("x.toml:2: ") !=
               std::string::npos);
}

// toml++ 3.3 asserts on these inputs before it reports an error, which would
// abort the process.
BOOST_AUTO_TEST_CASE(table_header_without_name_is_rejected)
{
    for (const char* text : {"[\n", "[= 0.5", "[\a]"})
        BOOST_TEST(!read_process_settings(text, "x.toml").problems.empty());
}

BOOST_AUTO_TEST_SUITE_END()
