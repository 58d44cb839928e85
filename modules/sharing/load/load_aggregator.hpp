#ifndef HIBISCUSFERRY_SHARING_LOAD_LOAD_AGGREGATOR_HPP
#define HIBISCUSFERRY_SHARING_LOAD_LOAD_AGGREGATOR_HPP

#include "foundation/foundation.hpp"
#include "sharing/load/in_flight_load.hpp"
#include <chrono>
#include <map>
#include <string>

namespace hibiscusferry
{

/** A part of a host's or a zone's loads. Loads that do not fit into one
    message are told in several, each with the targets whose keys leave the
    same remainder. */
struct load_part
{
    std::uint32_t index = 0;
    std::uint32_t count = 1;
    /** Hosts that the loads stem from. */
    std::size_t hosts = 1;
    in_flight_loads loads;
};

/** The loads that a relay was told: by the hosts that report to it, and by
    the relays of other availability zones. What was not renewed for a while
    is forgotten. */
class load_aggregator
{
public:
    /** @param lifetime  time after which a load that was not renewed no
                         longer counts */
    explicit load_aggregator(std::chrono::milliseconds lifetime);

    /** A host reported its own load. */
    void update_host(const std::string& host, const load_part& part,
                     time_point now);

    /** A relay told the sum of its zone. */
    void update_zone(const std::string& zone, const load_part& part,
                     time_point now);

    /** The sum over the hosts that report here, but for one.
        @param but_for  a host's name; empty for none */
    aggregated_loads sum_of_hosts_except(const std::string& but_for,
                                         time_point now);

    /** The sum over all other zones. */
    aggregated_loads zones(time_point now);

    /** Whether a host has reported within the lifetime. */
    bool knows_host(const std::string& host, time_point now);

private:
    struct told_loads
    {
        time_point received_at;
        std::size_t hosts = 0;
        in_flight_loads loads;
    };
    using entries = std::map<std::string, told_loads>;

    static void take(told_loads& known, const load_part& part, time_point now);
    void forget_old(entries& known, time_point now) const;

    std::chrono::milliseconds lifetime_;
    entries hosts_;
    entries zones_;
};

} // namespace hibiscusferry

#endif
