#include "gateway/crashes/quarantine_page.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

std::string list_blocks(const std::vector<suspected_block>& blocks)
{
    nlohmann::json list = nlohmann::json::array();
    for (const suspected_block& block : blocks)
        list.push_back({{"block", block.id},
                        {"crashes", block.crashes},
                        {"failed_probes", block.failed_probes},
                        {"first_crash_ms_ago", block.first_crash_age.count()}});
    return list.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

http_response serve_quarantine_page(crash_directory& crashes,
                                    const http_request& request)
{
    if (request.method == "GET")
        return json_response(200, list_blocks(crashes.suspected_blocks()));
    if (request.method != "DELETE")
        return json_response(405, R"({"error":"use GET or DELETE"})");
    if (!crashes.end_suspicion(request.query("block")))
        return json_response(404, R"({"error":"the block is not suspected"})");
    return json_response(200, "{}");
}

} // namespace hibiscusferry
