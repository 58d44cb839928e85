#ifndef HIBISCUSFERRY_SHARING_LOAD_AGGREGATED_LOADS_HPP
#define HIBISCUSFERRY_SHARING_LOAD_AGGREGATED_LOADS_HPP

#include "sharing/limits/request_limit_report.hpp"
#include "sharing/load/in_flight_load.hpp"

namespace hibiscusferry
{

/** The sum of the loads of several hosts, with the number of these hosts. */
struct aggregated_loads
{
    std::size_t hosts = 0;
    in_flight_loads loads;
    /** The sums of their observations of engines. */
    service_observations observations;
    /** The sums of their requests at targets that have stated a limit. */
    request_limit_reports limits;
};

} // namespace hibiscusferry

#endif
