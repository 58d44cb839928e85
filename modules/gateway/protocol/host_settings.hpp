#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_HOST_SETTINGS_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_HOST_SETTINGS_HPP

#include "http/http.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <string>

namespace hibiscusferry
{

/** What a gateway process is told about its host and its surroundings. */
struct host_settings
{
    std::string host;
    std::string region;
    std::string availability_zone;
    /** The host's IP number; metrics and peers are served there. */
    std::string address;
    http_endpoint callers;
    http_endpoint readiness;
    /** Where the table service answers. */
    http_endpoint table_service;
    /** The host's processor, in cores. */
    double processor_cores = 1;
    /** Port for the system's own processes, TCP and UDP; the same on all
        hosts. */
    std::uint16_t peer_port = 0;
    /** The fleet's bound on sending requests again. */
    fleet_retry_settings retries;
    /** Time from the signal to stop to the end by force. */
    std::chrono::milliseconds stop_grace_period{8000};
    /** Orders of two holders must be at least this far apart. */
    std::chrono::milliseconds min_order_interval{3000};
    /** How long a target serves on after its row says that it leaves. */
    std::chrono::milliseconds target_drain_time{2000};
    /** Within this time a new configuration is in force on every host. */
    std::chrono::milliseconds max_configuration_delay{2000};
    /** Time after the store's return within which rows that expired during
        its outage are back. */
    std::chrono::milliseconds outage_grace{2000};
};

/** Where the settings of the process come from. They may change at any time;
    a change of addresses takes effect at the next start only. */
class settings_source
{
public:
    virtual ~settings_source() = default;

    /** Reads the settings, whole or not at all. */
    virtual result<host_settings> read() = 0;

    /** What was wrong at the last read, for the log; empty if nothing. */
    virtual std::string problem() const = 0;
};

} // namespace hibiscusferry

#endif
