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

/** An address of this or another process. */
struct address_setting
{
    std::string address;
    std::uint16_t port = 0;
};

/** The settings of one daemon, router or controller. */
struct process_settings
{
    /** Which host this is, and where. */
    std::string host;
    std::string region;
    std::string availability_zone;

    /** Where callers come in; routers only. */
    address_setting callers;
    /** The daemon's own pages, and the operator API of a controller. */
    address_setting admin;
    /** Where a controller listens for its peers and for routers. */
    address_setting peers;

    /** The platform's endpoints. */
    address_setting table_service;

    /** Controllers a router speaks to, nearest first; a controller's first
        peers before it has read the host list. */
    std::vector<address_setting> controllers;

    /** The key that proves that a process belongs to the system. */
    std::string peer_key;
    /** SHA-256 of the operators' keys, 64 hexadecimal digits each. */
    std::vector<std::string> operator_key_sha256;

    /** How often the daemon asks the platform for changes. */
    std::chrono::milliseconds poll_interval{2000};
    /** Longest time for a planned stop. */
    std::chrono::milliseconds drain_timeout{60000};
    /** How long the daemon still accepts once it is no longer ready, as the
        balancer notices late. */
    std::chrono::milliseconds drain_grace{2000};
    /** Events kept for the time line. */
    std::uint32_t timeline_events = 4096;
};

/** Settings read from a text, or what is wrong with it. */
struct process_settings_result
{
    /** Set when there are no problems. */
    std::optional<process_settings> settings;
    settings_problems problems;
};

/** Reads and checks the settings of a daemon, whole.
    @param file_name  named in the problems */
process_settings_result read_process_settings(const std::string& text,
                                              const std::string& file_name);

/** The same from a file; a file that cannot be read is a problem. */
process_settings_result load_process_settings(const std::string& path);

} // namespace hibiscusferry

#endif
