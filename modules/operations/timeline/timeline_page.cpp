#include "operations/timeline/timeline_page.hpp"

#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::int64_t microseconds_per_second = 1000000;

std::string utc_time(const hybrid_timestamp& time)
{
    const std::time_t seconds =
        time.wall_microseconds / microseconds_per_second;
    const std::int64_t microseconds =
        time.wall_microseconds % microseconds_per_second;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 64> text{};
    const std::size_t length =
        std::strftime(text.data(), text.size(), "%H:%M:%S", &parts);
    std::snprintf(text.data() + length, text.size() - length, ".%06lld",
                  static_cast<long long>(microseconds));
    return text.data();
}

std::string fields_text(const timeline_entry& entry)
{
    std::string text;
    for (const event_field& field : entry.fields)
        text += (text.empty() ? "" : " ") + field.name + "=" + field.value;
    return text;
}

std::string html_escaped(const std::string& text)
{
    std::string escaped;
    for (const char character : text)
    {
        switch (character)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        case '"':
            escaped += "&quot;";
            break;
        default:
            escaped.push_back(character);
        }
    }
    return escaped;
}

constexpr const char* html_header =
    R"(<!DOCTYPE html><html lang="en"><meta charset="utf-8">
<title>hibiscusferry timeline</title>
<style>
body{font:13px/1.5 system-ui,sans-serif;margin:1em}
table{border-collapse:collapse;width:100%}
th,td{text-align:left;padding:2px 8px;border-bottom:1px solid #ddd;
vertical-align:top}
td:first-child,td:last-child{font-family:ui-monospace,monospace}
tr.warning{background:#fff6dd}tr.alarm{background:#ffe3e0}
input{font:inherit;width:30em;margin-bottom:1em}
</style>
<h1>Timeline</h1>
<input id="filter" placeholder="show lines that contain…" autofocus>
<table><thead><tr><th>time (UTC)<th>process<th>event<th>fields</thead><tbody>
)";

constexpr const char* html_footer = R"(</tbody></table>
<script>
const input=document.getElementById('filter');
input.addEventListener('input',()=>{for(const row of
document.querySelectorAll('tbody tr'))row.hidden=
!row.textContent.includes(input.value)});
</script></html>
)";

} // namespace

std::string to_text(const std::vector<timeline_entry>& entries)
{
    std::string text;
    for (const timeline_entry& entry : entries)
    {
        text += utc_time(entry.time) + "  " + entry.process + "  [" +
                std::to_string(entry.number) + "] " + entry.name + "  " +
                fields_text(entry) + "\n";
    }
    return text;
}

std::string to_json(const std::vector<timeline_entry>& entries)
{
    nlohmann::json page = nlohmann::json::array();
    for (const timeline_entry& entry : entries)
    {
        nlohmann::json fields = nlohmann::json::object();
        for (const event_field& field : entry.fields)
            fields[field.name] = field.value;
        page.push_back({{"time", entry.time.text()},
                        {"process", entry.process},
                        {"number", entry.number},
                        {"name", entry.name},
                        {"severity", entry.severity},
                        {"fields", fields}});
    }
    return page.dump(1) + "\n";
}

std::string to_html(const std::vector<timeline_entry>& entries)
{
    std::string page = html_header;
    for (const timeline_entry& entry : entries)
    {
        page += "<tr class=\"" + html_escaped(entry.severity) + "\"><td>" +
                utc_time(entry.time) + "<td>" + html_escaped(entry.process) +
                "<td>" + std::to_string(entry.number) + " " +
                html_escaped(entry.name) + "<td>" +
                html_escaped(fields_text(entry)) + "</tr>\n";
    }
    return page + html_footer;
}

} // namespace hibiscusferry
