#include "operations/operations.hpp"

#include <boost/test/unit_test.hpp>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(merged_timeline_test)

// Pages arrive per process and their events are not sorted, so without the
// merge the timeline would be out of order. Unescaped field values would inject
// markup into the HTML page.
BOOST_AUTO_TEST_CASE(events_of_all_processes_are_merged_in_time_order)
{
    merged_timeline timeline;
    BOOST_TEST(timeline.add_page(
        R"({"process":"b","dropped":2,"events":[
        {"time":"20.0","number":1101,"name":"request_finished",
         "severity":"info","fields":{"request":"r1"}}]})"));
    BOOST_TEST(timeline.add_page(
        R"({"process":"a","dropped":1,"events":[
        {"time":"10.1","number":1100,"name":"request_received",
         "severity":"info","fields":{"request":"r1"}},
        {"time":"10.0","number":1100,"name":"request_received",
         "severity":"info","fields":{"request":"<r2>"}}]})"));
    const std::vector<timeline_entry> all = timeline.entries({});
    BOOST_TEST(all.size() == 3U);
    BOOST_TEST(all[0].field("request") == "<r2>");
    BOOST_TEST(all[2].process == "b");
    BOOST_TEST(timeline.dropped() == 3U);
    BOOST_TEST(timeline.entries({"r1", "", "", ""}).size() == 2U);
    BOOST_TEST(to_html(all).find("<r2>") == std::string::npos);
    BOOST_TEST(to_html(all).find("&lt;r2&gt;") != std::string::npos);
}

// A response that is not a timeline page must be rejected, so that the command
// can warn that the events of the process are missing.
BOOST_AUTO_TEST_CASE(malformed_page_is_rejected)
{
    merged_timeline timeline;
    for (const char* page : {"", "[]", R"({"process":1,"events":[]})",
                             R"({"process":"a","events":[{"time":3}]})"})
        BOOST_TEST(!timeline.add_page(page), page);
}

// Missing controllers, invalid endpoints and unknown keys must be reported
// instead of being ignored.
BOOST_AUTO_TEST_CASE(client_settings_require_valid_endpoints)
{
    BOOST_TEST(parse_client_settings("controllers = [\"127.0.0.1:7\"]", "c")
                   .settings->controllers.front()
                   .port == 7);
    for (const char* text :
         {"", "controllers = [\"x\"]", "controllers = [\"127.0.0.1:70000\"]",
          "controllers = [\"127.0.0.1:7\"]\nx = 1"})
        BOOST_TEST(!parse_client_settings(text, "c").problems.empty(), text);
}

BOOST_AUTO_TEST_SUITE_END()
