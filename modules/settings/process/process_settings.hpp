#ifndef HIBISCUSFERRY_SETTINGS_PROCESS_PROCESS_SETTINGS_HPP
#define HIBISCUSFERRY_SETTINGS_PROCESS_PROCESS_SETTINGS_HPP

#include "settings/toml/settings_problem.hpp"
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The IP address and port of this or another process. */
struct address_setting
{
    std::string address;
    std::uint16_t port = 0;
};

/** The settings of a daemon: a router or a controller. */
struct process_settings
{
    /** The name and the location of this host. */
    std::string host;
    std::string region;
    std::string availability_zone;

    /** Address on which a router listens for callers; unused in controllers. */
    address_setting callers;
    /** Address of the daemon's status pages and of a controller's operator
        API. */
    address_setting admin;
    /** Address on which a controller listens for its peers and for routers. */
    address_setting peers;

    /** Address of the platform's table service. */
    address_setting table_service;

    /** For a router, the controllers it connects to, nearest first. For a
        controller, its initial peers until it has read the host list. */
    std::vector<address_setting> controllers;

    /** The shared key with which processes authenticate to each other. */
    std::string peer_key;
    /** SHA-256 digests of the operators' keys, 64 lower-case hexadecimal
        digits each. */
    std::vector<std::string> operator_key_sha256;

    /** Interval at which the daemon polls the platform for changes. */
    std::chrono::milliseconds poll_interval{2000};
    /** Maximum duration of a planned shutdown. */
    std::chrono::milliseconds drain_timeout{60000};
    /** How long the daemon still accepts requests after it has reported that it
        is no longer ready. The load balancer takes some time to notice. */
    std::chrono::milliseconds drain_grace{2000};
    /** Number of events kept for the timeline. */
    std::uint32_t timeline_events = 4096;
};

/** The settings of a TOML text, or the problems found in it. */
struct process_settings_result
{
    /** Has a value if there are no problems. */
    std::optional<process_settings> settings;
    settings_problems problems;
};

/** Parses and validates the settings of a daemon.

    All problems are collected, not only the first one.

    @param file_name  the file name used in the problems
*/
process_settings_result read_process_settings(const std::string& text,
                                              const std::string& file_name);

/** Loads the settings of a daemon from a file. A file that cannot be read is
    reported as a problem. */
process_settings_result load_process_settings(const std::string& path);

} // namespace hibiscusferry

#endif
