#include "operations/commands/fleet_commands.hpp"

#include "operations/timeline/timeline_page.hpp"
#include <iostream>
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

using nlohmann::json;

std::vector<http_endpoint> all_processes(const client_settings& settings)
{
    std::vector<http_endpoint> processes = settings.controllers;
    processes.insert(processes.end(), settings.routers.begin(),
                     settings.routers.end());
    return processes;
}

/** Returns the status reported by one process. */
json process_status(const operator_client& client, const http_endpoint& process)
{
    const result<http_response> page = client.read_page(process, "/status");
    const result<http_response> ready = client.read_page(process, "/readyz");
    json status =
        page ? json::parse(page.value().body, nullptr, false) : json::object();
    if (!status.is_object())
        status = json::object();
    status["endpoint"] = process.text();
    status["reachable"] = page.has_value();
    std::string readiness = ready ? ready.value().body : "not reachable\n";
    readiness.erase(readiness.find_last_not_of('\n') + 1);
    status["readiness"] = readiness;
    return status;
}

void print_status_line(const json& status)
{
    std::cout << status.value("endpoint", "") << "  "
              << status.value("role", "-") << "  " << status.value("host", "-")
              << "  " << status.value("readiness", "");
    if (status.contains("documents") && status["documents"].is_object())
        std::cout << "  documents at revision "
                  << status["documents"].value("revision", std::uint64_t(0));
    std::cout << "\n";
    if (!status.contains("services") || !status["services"].is_array())
        return;
    for (const json& service : status["services"])
    {
        std::cout << "    " << service.value("service", "") << ": "
                  << service.value("running", 0) << " running, "
                  << service.value("waiting", 0) << " waiting, "
                  << service.value("targets", json::array()).size()
                  << " targets\n";
    }
}

} // namespace

exit_code run_status(const command_context& context)
{
    json statuses = json::array();
    bool is_any_reachable = false;
    for (const http_endpoint& process :
         all_processes(context.client->settings()))
    {
        statuses.push_back(process_status(*context.client, process));
        is_any_reachable |= statuses.back()["reachable"].get<bool>();
    }
    if (context.as_json)
        std::cout << statuses.dump(1) << "\n";
    else
        for (const json& status : statuses)
            print_status_line(status);
    return is_any_reachable
               ? exit_code::success
               : fail(exit_code::unreachable, "no process responded");
}

exit_code run_unresolved(const command_context& context)
{
    exit_code code = exit_code::success;
    std::string after;
    for (;;)
    {
        const std::optional<std::string> body =
            body_of(context.client->call_controller(
                        "GET", "unresolved?after=" + url_encode(after), ""),
                    code);
        if (!body)
            return code;
        const json page = json::parse(*body, nullptr, false);
        if (!page.is_object() || page["rows"].empty())
            return code;
        for (const json& row : page["rows"])
        {
            const json& record = row["record"];
            if (context.as_json)
                std::cout << record.dump() << "\n";
            else
                std::cout << row.value("key", "") << "\n";
        }
        after = page["rows"].back()["key"].get<std::string>();
    }
}

exit_code run_timeline(const command_context& context)
{
    merged_timeline timeline;
    for (const http_endpoint& process :
         all_processes(context.client->settings()))
    {
        const result<http_response> page =
            context.client->read_page(process, "/timeline");
        const bool is_added = page && timeline.add_page(page.value().body);
        if (!is_added)
            std::cerr << "ferryctl: no timeline from " << process.text()
                      << "; its events are missing from the output\n";
    }
    const std::vector<timeline_entry> entries =
        timeline.entries(context.filter);
    if (context.as_json)
        std::cout << to_json(entries);
    else if (context.as_html)
        std::cout << to_html(entries);
    else
        std::cout << to_text(entries);
    if (timeline.dropped() > 0)
        std::cerr << "ferryctl: " << timeline.dropped()
                  << " older events were dropped; increase timeline_events\n";
    return exit_code::success;
}

} // namespace hibiscusferry
