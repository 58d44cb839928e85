#include "foundation/events/event_catalogue.hpp"

#include <algorithm>
#include <cassert>

namespace hibiscusferry
{

const std::vector<event_definition>& event_catalogue()
{
    static const std::vector<event_definition> catalogue = {
#define HIBISCUSFERRY_EVENT(number, severity, name, text, advice)              \
    {event_number::name, event_severity::severity, #name, text, advice},
#include "foundation/events/event_table.hpp"
#undef HIBISCUSFERRY_EVENT
    };
    return catalogue;
}

const event_definition& definition_of(event_number number)
{
    const std::vector<event_definition>& catalogue = event_catalogue();
    const auto match = std::find_if(catalogue.begin(), catalogue.end(),
                                    [number](const event_definition& definition)
                                    { return definition.number == number; });
    assert(match != catalogue.end());
    return *match;
}

std::string_view to_text(event_severity level)
{
    static constexpr std::string_view names[] = {"info", "warning", "alarm"};
    return names[static_cast<std::size_t>(level)];
}

std::string event_catalogue_page()
{
    std::string page = "# Events\n\n"
                       "Every log line and every timeline entry is one of "
                       "these events. This page is generated from\n"
                       "`modules/foundation/events/event_table.hpp` by "
                       "`scripts/write-event-page`.\n\n"
                       "| number | severity | name | what happened | "
                       "what to do |\n|---|---|---|---|---|\n";
    for (const event_definition& definition : event_catalogue())
    {
        page += "| " + std::to_string(static_cast<int>(definition.number)) +
                " | " + std::string(to_text(definition.severity)) + " | " +
                std::string(definition.name) + " | " +
                std::string(definition.text) + " | " +
                std::string(definition.advice) + " |\n";
    }
    return page;
}

} // namespace hibiscusferry
