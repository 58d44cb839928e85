#ifndef HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_CATALOGUE_HPP
#define HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_CATALOGUE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** How much an event matters. */
enum class event_severity
{
    info,
    warning,
    alarm
};

/** The number of each event in the catalogue. */
enum class event_number : std::uint16_t
{
#define HIBISCUSFERRY_EVENT(number, severity, name, text, advice)              \
    name = (number),
#include "foundation/events/event_table.hpp"
#undef HIBISCUSFERRY_EVENT
};

/** What the catalogue says of one event. */
struct event_definition
{
    event_number number;
    event_severity severity;
    std::string_view name;
    std::string_view text;
    std::string_view advice;
};

/** All events, in the order of the table. */
const std::vector<event_definition>& event_catalogue();

/** The definition of one event. */
const event_definition& definition_of(event_number number);

/** "info", "warning" or "alarm". */
std::string_view to_text(event_severity level);

/** The catalogue as the Markdown page docs/EVENTS.md. */
std::string event_catalogue_page();

} // namespace hibiscusferry

#endif
