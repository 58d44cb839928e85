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
    /** Admin endpoints of controllers; any of them can serve. */
    std::vector<http_endpoint> controllers;
    /** Admin endpoints of routers, for status and the time line. */
    std::vector<http_endpoint> routers;
    /** A file that holds the operator's key. */
    std::string operator_key_file;
    /** Recorded with changes. */
    std::string author;
};

/** Client settings read from a text, or what is wrong with it. */
struct client_settings_reading
{
    std::optional<client_settings> settings;
    settings_problems problems;
};

/** Reads and checks the settings, whole. Endpoints are "ADDRESS:PORT". */
client_settings_reading read_client_settings(const std::string& text,
                                             const std::string& file_name);

/** "ADDRESS:PORT", an IP number and a port, as an endpoint. */
std::optional<http_endpoint> parse_endpoint(const std::string& text);

} // namespace hibiscusferry

#endif
