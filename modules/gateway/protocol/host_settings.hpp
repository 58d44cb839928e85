#ifndef HIBISCUSFERRY_GATEWAY_PROTOCOL_HOST_SETTINGS_HPP
#define HIBISCUSFERRY_GATEWAY_PROTOCOL_HOST_SETTINGS_HPP

#include "http/http.hpp"
#include "serving/serving.hpp"
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <string>

namespace hibiscusferry
{

/** Settings of the duties that one host at a time performs for the fleet. */
struct duty_settings
{
    /** The address of the service that receives the calls. */
    http_endpoint receiver;
    /** Calls per second that the receiver takes from all hosts together. */
    double calls_per_second = 1;
    bool reports_usage = false;
    bool orders_targets = false;
    /** The length of the windows whose usage is reported. */
    std::chrono::milliseconds usage_window{5000};
    /** Time after the end of a window at which its report is due. */
    std::chrono::milliseconds usage_report_delay{10000};
};

/** Settings of a gateway process: its host, addresses and time limits. */
struct host_settings
{
    std::string host;
    std::string region;
    /** The regions that the settings name, including that of this host. Hosts
        may disagree on them while settings change. */
    std::set<std::string> regions;
    std::string availability_zone;
    /** IP address of the host, on which metrics and peer requests are
        served. */
    std::string address;
    http_endpoint callers;
    http_endpoint readiness;
    /** The address of the table service. */
    http_endpoint table_service;
    /** Read calls per second that the table service takes from all hosts. */
    double table_reads_per_second = 2000;
    /** CPU capacity of the host, in cores. */
    double processor_cores = 1;
    /** Memory limit of the process. */
    std::size_t memory_bytes = 256U << 20;
    /** TCP and UDP port for messages between hosts; the same on all hosts. */
    std::uint16_t peer_port = 0;
    /** Fleet-wide limit on retries. */
    fleet_retry_settings retries;
    /** Time between the stop signal and the forced end of the process. */
    std::chrono::milliseconds stop_grace_period{8000};
    /** Minimum interval between orders issued by successive lease holders. */
    std::chrono::milliseconds min_order_interval{3000};
    /** How long a target goes on serving after its row marks it as leaving. */
    std::chrono::milliseconds target_drain_time{2000};
    /** Time within which a new configuration must be in force on every host. */
    std::chrono::milliseconds max_configuration_delay{2000};
    /** After a store outage, the time within which targets rewrite rows that
        expired during the outage. */
    std::chrono::milliseconds outage_grace{2000};
    /** Time after which a key that was taken away must not be accepted any
        more, even by a host that has lost contact with the store; none if only
        hosts in contact have to reject it. */
    std::optional<std::chrono::milliseconds> key_revocation_time;
    /** The maximum number of descriptors of the process. */
    std::size_t max_descriptors = 4096;
    /** Set only if the fleet has duties. */
    std::optional<duty_settings> duties;

    /** The bounds on the age of the configuration by which keys are checked. */
    credential_bounds credentials() const
    {
        return {key_revocation_time, max_configuration_delay};
    }
};

/** The source of the settings of the process. Settings may change at any time;
    changed addresses take effect at the next start only. */
class settings_source
{
public:
    virtual ~settings_source() = default;

    /** Reads all settings, or fails if any of them is missing or malformed. */
    virtual result<host_settings> read() = 0;

    /** Describes the error of the last read for the log; empty on success. */
    virtual std::string problem() const = 0;
};

} // namespace hibiscusferry

#endif
