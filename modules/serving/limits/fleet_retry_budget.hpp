#ifndef HIBISCUSFERRY_SERVING_LIMITS_FLEET_RETRY_BUDGET_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_FLEET_RETRY_BUDGET_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstddef>
#include <deque>

namespace hibiscusferry
{

/** The fleet-wide limit on retries for one service. */
struct fleet_retry_settings
{
    /** Retries allowed per request. */
    double ratio = 0.2;
    /** Additional retries allowed in each window, over all hosts together. */
    double slack = 0;
    /** The sliding window in which requests and retries are counted. */
    std::chrono::milliseconds window{10000};
};

/** This host's share of a service's retry budget.

    In any window, the number of retries stays below the ratio times the number
    of requests that this host received for the service, plus its even share of
    the slack. Hosts enforce their shares without communication; the sum over
    all hosts stays within the limit of the fleet.
*/
class fleet_retry_budget
{
public:
    explicit fleet_retry_budget(const fleet_retry_settings& settings);

    void set(const fleet_retry_settings& settings);

    /** Counts a caller's request for the service. */
    void count_request(time_point now);

    /** Spends one retry if the budget allows it.
        @returns whether the retry may be sent */
    bool try_spend(time_point now, std::size_t live_hosts);

    /** Counts a retry that was sent without a call of try_spend(). */
    void count_retry(time_point now);

    /** Returns the number of retries left; negative if it is overspent. */
    double remaining(time_point now, std::size_t live_hosts);

private:
    void discard_expired(time_point now);

    fleet_retry_settings settings_;
    std::deque<time_point> requests_;
    std::deque<time_point> retries_;
};

} // namespace hibiscusferry

#endif
