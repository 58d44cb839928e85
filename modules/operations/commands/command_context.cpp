#include "operations/commands/command_context.hpp"

#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace hibiscusferry
{

namespace
{

exit_code code_of_status(unsigned status)
{
    switch (status)
    {
    case 400:
    case 422:
        return exit_code::usage;
    case 404:
        return exit_code::not_found;
    case 409:
        return exit_code::conflict;
    case 504:
        return exit_code::unknown;
    default:
        return exit_code::failed;
    }
}

std::string message_of(const http_response& response)
{
    const nlohmann::json body =
        nlohmann::json::parse(response.body, nullptr, false);
    const bool has_message = body.is_object() && body.contains("error") &&
                             body["error"].is_object() &&
                             body["error"].contains("message") &&
                             body["error"]["message"].is_string();
    if (has_message)
        return body["error"]["message"].get<std::string>();
    return "the controller responded with status " +
           std::to_string(response.status);
}

} // namespace

exit_code fail(exit_code code, const std::string& message)
{
    std::cerr << "ferryctl: " << message << "\n";
    return code;
}

std::optional<std::string> read_file(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        return std::nullopt;
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::optional<std::string> body_of(const result<http_response>& response,
                                   exit_code& code)
{
    if (!response)
    {
        code =
            fail(exit_code::unreachable,
                 "no controller responded: " + response.error().message() +
                     "; check --config and that the controllers are running");
        return std::nullopt;
    }
    if (response.value().status >= 300)
    {
        code = fail(code_of_status(response.value().status),
                    message_of(response.value()));
        return std::nullopt;
    }
    return response.value().body;
}

} // namespace hibiscusferry
