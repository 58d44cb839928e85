#include "foundation/foundation.hpp"

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <fstream>
#include <set>
#include <sstream>

using namespace hibiscusferry;

BOOST_AUTO_TEST_SUITE(event_catalogue_test)

BOOST_AUTO_TEST_CASE(event_numbers_are_unique_and_ascending)
{
    int last = 0;
    std::set<std::string_view> names;
    for (const event_definition& definition : event_catalogue())
    {
        BOOST_TEST(static_cast<int>(definition.number) > last);
        last = static_cast<int>(definition.number);
        BOOST_TEST(names.insert(definition.name).second);
    }
}

BOOST_AUTO_TEST_CASE(every_alarm_has_advice)
{
    for (const event_definition& definition : event_catalogue())
    {
        if (definition.severity == event_severity::alarm)
            BOOST_TEST(!definition.advice.empty(), definition.name);
    }
}

BOOST_AUTO_TEST_CASE(events_page_matches_table)
{
    const std::string path = HIBISCUSFERRY_SOURCE_DIR "/docs/EVENTS.md";
    // scripts/write-event-page sets this variable to regenerate the page.
    if (std::getenv("HIBISCUSFERRY_WRITE_PAGES") != nullptr)
        std::ofstream(path) << event_catalogue_page();
    std::ostringstream page;
    page << std::ifstream(path).rdbuf();
    BOOST_TEST(page.str() == event_catalogue_page());
}

BOOST_AUTO_TEST_SUITE_END()
