#ifndef HIBISCUSFERRY_OPERATIONS_CLIENT_CLIENT_SETTINGS_HPP
#define HIBISCUSFERRY_OPERATIONS_CLIENT_CLIENT_SETTINGS_HPP

#include "http/http.hpp"
#include "settings/settings.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The settings of ferryctl. */
struct client_settings
{
    /** Admin endpoints of controllers; any of them can serve a call. */
    std::vector<http_endpoint> controllers;
    /** Admin endpoints of routers, for the status and timeline commands. */
    std::vector<http_endpoint> routers;
    /** Path of the file that contains the operator's key. */
    std::string operator_key_file;
    /** Author recorded with changes. */
    std::string author;
};

/** The result of parsing client settings: the settings, or their problems. */
struct client_settings_result
{
    std::optional<client_settings> settings;
    settings_problems problems;
};

/** Parses and validates all settings and reports every problem. Endpoints have
    the form "ADDRESS:PORT". */
client_settings_result parse_client_settings(const std::string& text,
                                             const std::string& file_name);

/** Parses an endpoint of the form "ADDRESS:PORT", an IP address and a port. */
std::optional<http_endpoint> parse_endpoint(const std::string& text);

} // namespace hibiscusferry

#endif
