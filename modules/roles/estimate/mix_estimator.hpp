#ifndef HIBISCUSFERRY_ROLES_ESTIMATE_MIX_ESTIMATOR_HPP
#define HIBISCUSFERRY_ROLES_ESTIMATE_MIX_ESTIMATOR_HPP

#include "foundation/foundation.hpp"
#include "roles/model/router_load_report.hpp"
#include "roles/model/token_demand.hpp"
#include <chrono>
#include <map>
#include <string>

namespace hibiscusferry
{

/** The token demand for one model, summed over all routers. */
struct mix_estimate
{
    /** Average over the last few seconds. */
    token_demand fast;
    /** Average over the last minute. */
    token_demand slow;
    /** The fraction of received requests that was refused, from 0 to 1. */
    double refused_fraction = 0;
    /** Prompt tokens queued at the routers. */
    double waiting_prefill_tokens = 0;
    /** The fraction of the tracked routers whose last report is fresh, from
        0 to 1; 0 if no router is tracked. */
    double confidence = 0;

    /** The share of prefill in the total engine time, from 0 to 1. */
    double prefill_share(const engine_capacity& capacity) const;

    /** The change of the prefill share: the fast average minus the slow
        one. */
    double share_change(const engine_capacity& capacity) const;
};

/** Estimates the token demand of one model from the reports of many
    routers, which may be delayed, duplicated, reordered or lost.

    Reports carry cumulative counters. Rates are computed from the difference
    between the two latest reports of a router, divided by the difference of
    the router's uptime, and averaged exponentially with two time constants.

    Not thread-safe. Processing a report takes one map lookup, and an estimate
    takes time linear in the number of routers.
*/
class mix_estimator
{
public:
    /** The maximum number of tracked routers. Reports of further routers are
        ignored. */
    static constexpr std::size_t max_router_count = 1024;

    void on_report(const router_load_report& report, time_point now);

    /** Returns the estimated demand, and removes routers that have sent no
        report for a minute. */
    mix_estimate estimate(time_point now);

private:
    struct rates
    {
        double requests = 0;
        double prefill_tokens = 0;
        double refused_requests = 0;
        double finished_requests = 0;
        double decoded_tokens = 0;
    };

    struct router_state
    {
        router_load_report last_report;
        time_point received_at;
        std::chrono::milliseconds interval{0};
        /** The uptime over which rates have been averaged since the router
            last started. */
        std::chrono::milliseconds observed_uptime{0};
        rates fast;
        rates slow;
    };

    static rates rates_between(const router_load_report& older,
                               const router_load_report& newer);
    static void average(rates& averages, const rates& sample, double weight);
    static void add(rates& sum, const rates& router_rates);
    static token_demand demand_of(const rates& sum, double output_tokens);
    static bool is_fresh(const router_state& state, time_point now);

    std::map<std::string, router_state> routers_;
    /** The mean number of generated tokens per finished request. The last
        value is retained while no requests finish. */
    double mean_output_tokens_ = 0;
};

} // namespace hibiscusferry

#endif
