#ifndef HIBISCUSFERRY_SHARING_LOAD_LOAD_AGGREGATOR_HPP
#define HIBISCUSFERRY_SHARING_LOAD_LOAD_AGGREGATOR_HPP

#include "foundation/foundation.hpp"
#include "sharing/load/aggregated_loads.hpp"
#include <chrono>
#include <map>
#include <string>

namespace hibiscusferry
{

/** One part of the loads of a host or an availability zone.

    Loads that do not fit into one message are split over several. A part holds
    the targets whose keys modulo `count` equal `index`.
*/
struct load_part
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    /** Number of hosts whose loads are included. */
    std::size_t hosts = 1;
    in_flight_loads loads;
    /** Observations of engines; empty in most reports, because they change
        slowly. */
    service_observations observations;
    /** The targets whose incarnation keys modulo `count` equal `index`. */
    request_limit_reports limits;
};

/** Aggregates the loads that a relay receives from the hosts that report to it
    and from the relays of other availability zones. Loads that are not renewed
    within their lifetime are dropped. */
class load_aggregator
{
public:
    /** @param lifetime  time after which a load expires if not renewed */
    explicit load_aggregator(std::chrono::milliseconds lifetime);

    /** Applies the load that a host reported for itself. */
    void update_host(const std::string& host, const load_part& part,
                     time_point now);

    /** Applies the sum that the relay of another zone reported. */
    void update_zone(const std::string& zone, const load_part& part,
                     time_point now);

    /** The sum of the loads of all reporting hosts except one.
        @param excluded_host  name of the host to leave out; empty to include
                              all */
    aggregated_loads sum_of_hosts_except(const std::string& excluded_host,
                                         time_point now);

    /** The sum of the loads of all other zones. */
    aggregated_loads sum_of_zones(time_point now);

    /** Whether the host has reported within the lifetime of a load. */
    bool has_reported(const std::string& host, time_point now);

private:
    struct reported_loads
    {
        time_point received_at;
        std::size_t hosts = 0;
        in_flight_loads loads;
        service_observations observations;
        request_limit_reports limits;
    };
    using entry_map = std::map<std::string, reported_loads>;

    static void apply_part(reported_loads& entry, const load_part& part,
                           time_point now);
    static void add_entry(aggregated_loads& sum, const reported_loads& entry,
                          time_point now);
    void remove_expired(entry_map& entries, time_point now) const;

    std::chrono::milliseconds lifetime_;
    entry_map hosts_;
    entry_map zones_;
};

} // namespace hibiscusferry

#endif
