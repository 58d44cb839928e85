#include "operations/timeline/merged_timeline.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

bool matches(const timeline_entry& entry, const std::string& field,
             const std::string& value)
{
    return value.empty() || entry.field(field) == value;
}

bool parse_entry(const json& source, const std::string& process,
                 timeline_entry& entry)
{
    const bool is_event = source.is_object() && source.contains("time") &&
                          source["time"].is_string() &&
                          source.contains("number") &&
                          source["number"].is_number_integer();
    if (!is_event)
        return false;
    const result<hybrid_timestamp> time =
        hybrid_timestamp::parse(source["time"].get<std::string>());
    if (!time)
        return false;
    entry.time = time.value();
    entry.process = process;
    entry.number = source["number"].get<int>();
    entry.name = source.value("name", "");
    entry.severity = source.value("severity", "");
    const json fields = source.value("fields", json::object());
    for (const auto& [name, value] : fields.items())
    {
        if (value.is_string())
            entry.fields.push_back({name, value.get<std::string>()});
    }
    return true;
}

} // namespace

std::string timeline_entry::field(const std::string& field_name) const
{
    for (const event_field& candidate : fields)
    {
        if (candidate.name == field_name)
            return candidate.value;
    }
    return {};
}

bool merged_timeline::add_page(const std::string& text)
{
    const json page = json::parse(text, nullptr, false);
    const bool is_page = page.is_object() && page.contains("process") &&
                         page["process"].is_string() &&
                         page.contains("events") && page["events"].is_array();
    if (!is_page)
        return false;
    const std::string process = page["process"].get<std::string>();
    for (const json& source : page["events"])
    {
        timeline_entry entry;
        if (!parse_entry(source, process, entry))
            return false;
        entries_.push_back(std::move(entry));
    }
    const bool has_dropped_count =
        page.contains("dropped") && page["dropped"].is_number_unsigned();
    dropped_ += has_dropped_count ? page["dropped"].get<std::size_t>() : 0;
    std::stable_sort(entries_.begin(), entries_.end(),
                     [](const timeline_entry& left, const timeline_entry& right)
                     { return left.time < right.time; });
    return true;
}

std::vector<timeline_entry>
merged_timeline::entries(const timeline_filter& filter) const
{
    std::vector<timeline_entry> matching;
    for (const timeline_entry& entry : entries_)
    {
        const bool is_match = matches(entry, "request", filter.request) &&
                              matches(entry, "service", filter.service) &&
                              matches(entry, "target", filter.target) &&
                              matches(entry, "order", filter.order);
        if (is_match)
            matching.push_back(entry);
    }
    return matching;
}

std::size_t merged_timeline::dropped() const
{
    return dropped_;
}

} // namespace hibiscusferry
