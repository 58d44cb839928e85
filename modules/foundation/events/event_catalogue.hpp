#ifndef HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_CATALOGUE_HPP
#define HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_CATALOGUE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** The severity of an event. An alarm asks an operator to act. */
enum class event_severity
{
    info,
    warning,
    alarm
};

/** The events of the catalogue, by number. */
enum class event_number : std::uint16_t
{
#define HIBISCUSFERRY_EVENT(number, severity, name, text, advice)              \
    name = (number),
#include "foundation/events/event_table.hpp"
#undef HIBISCUSFERRY_EVENT
};

/** The catalogue entry of an event. */
struct event_definition
{
    event_number number;
    event_severity severity;
    std::string_view name;
    std::string_view text;
    std::string_view advice;
};

/** Returns all events, in the order of the table. */
const std::vector<event_definition>& event_catalogue();

/** Returns the definition of an event. */
const event_definition& definition_of(event_number number);

/** Returns "info", "warning" or "alarm". */
std::string_view to_text(event_severity level);

/** Returns the catalogue as Markdown, the content of docs/EVENTS.md. */
std::string event_catalogue_page();

} // namespace hibiscusferry

#endif
