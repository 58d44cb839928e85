#include "operations/client/client_settings.hpp"

#include <charconv>

namespace hibiscusferry
{

namespace
{

std::vector<http_endpoint> parse_endpoints(const checked_table& root,
                                           const std::string& key)
{
    std::vector<http_endpoint> endpoints;
    for (const std::string& text : root.texts(key))
    {
        const std::optional<http_endpoint> endpoint = parse_endpoint(text);
        if (endpoint)
            endpoints.push_back(*endpoint);
        else
            root.note(key, "must hold texts of the form ADDRESS:PORT");
    }
    return endpoints;
}

} // namespace

std::optional<http_endpoint> parse_endpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos || colon == 0)
        return std::nullopt;
    http_endpoint endpoint;
    endpoint.address = text.substr(0, colon);
    const char* const first = text.data() + colon + 1;
    const char* const last = text.data() + text.size();
    const std::from_chars_result parsed =
        std::from_chars(first, last, endpoint.port);
    if (parsed.ec != std::errc() || parsed.ptr != last || first == last)
        return std::nullopt;
    return endpoint;
}

client_settings_result parse_client_settings(const std::string& text,
                                             const std::string& file_name)
{
    const checked_table root = checked_table::parse(text, file_name);
    client_settings settings;
    settings.controllers = parse_endpoints(root, "controllers");
    settings.routers = parse_endpoints(root, "routers");
    settings.operator_key_file = root.text("operator_key_file", "");
    settings.author = root.text("author", "");
    if (settings.controllers.empty())
        root.note("controllers", "must name at least one controller");
    client_settings_result parsed_settings;
    parsed_settings.problems = root.finish();
    if (parsed_settings.problems.empty())
        parsed_settings.settings = settings;
    return parsed_settings;
}

} // namespace hibiscusferry
