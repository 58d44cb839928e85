#ifndef HIBISCUSFERRY_SERVING_LIMITS_FLEET_RETRY_BUDGET_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_FLEET_RETRY_BUDGET_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstddef>
#include <deque>

namespace hibiscusferry
{

/** The fleet-wide bound on sending requests again, for one service. */
struct fleet_retry_settings
{
    /** Further sends allowed for each request. */
    double ratio = 0.2;
    /** Further sends allowed besides, over all hosts. */
    double slack = 0;
    /** The span in which both are counted. */
    std::chrono::milliseconds window{10000};
};

/** This host's part of a service's retry budget.

    In any window, further sends stay below the ratio times the requests that
    this host took for the service, plus its part of the slack. Hosts share
    nothing: the sum over all hosts keeps the fleet's bound.
*/
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(const fleet_retry_settings& settings);

    void set(const fleet_retry_settings& settings);

    /** A caller's request for the service arrived. */
    void count_request(time_point now);

    /** Takes one further send out of the budget, if there is one left. */
    bool try_spend(time_point now, std::size_t live_hosts);

    /** Counts a further send that was found out afterwards. */
    void count_retry(time_point now);

    /** Further sends left now. */
    double left(time_point now, std::size_t live_hosts);

private:
    void forget_old(time_point now);

    fleet_retry_settings settings_;
    std::deque<time_point> requests_;
    std::deque<time_point> sends_;
};

} // namespace hibiscusferry

#endif
