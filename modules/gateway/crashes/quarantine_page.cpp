#include "gateway/crashes/quarantine_page.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

std::string list_inputs(const std::vector<suspected_input>& inputs)
{
    nlohmann::json list = nlohmann::json::array();
    for (const suspected_input& input : inputs)
        list.push_back({{"block", input.id},
                        {"request", input.request},
                        {"crashes", input.crashes},
                        {"failed_probes", input.failed_probes},
                        {"first_crash_ms_ago", input.first_crash_age.count()}});
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

http_response serve_quarantine_page(crash_directory& crashes,
                                    const http_request& request)
{
    if (request.method == "GET")
        return json_response(200, list_inputs(crashes.suspected_inputs()));
    if (request.method != "DELETE")
        return json_response(405, R"({"error":"use GET or DELETE"})");
    if (!crashes.end_suspicion(request.query("block")))
        return json_response(404, R"({"error":"the input is not suspected"})");
    return json_response(200, "{}");
}

} // namespace hibiscusferry
