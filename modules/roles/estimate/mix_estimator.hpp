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

/** The demand for one model, summed over all routers. */
struct mix_estimate
{
    /** Over the last seconds. */
    token_demand fast;
    /** Over the last minute. */
    token_demand slow;
    /** The part of the offered requests that was refused, from 0 to 1. */
    double refused_part = 0;
    /** Prompt tokens that wait at the routers. */
    double waiting_prefill_tokens = 0;
    /** The part of the routers heard of lately whose reports are fresh,
        from 0 to 1; 0 also when there is none. */
    double confidence = 0;

    /** The prefill part of the work, from 0 to 1, in engine time. */
    double prefill_share(const engine_capacity& capacity) const;

    /** The fast prefill share less the slow one: how the mix changes. */
    double share_change(const engine_capacity& capacity) const;
};

/** Estimates the token demand of one model from the reports of many
    routers, which arrive late, twice, out of order or not at all.

    Reports carry growing counts, so rates come from the difference between
    the two newest reports of a router over the router's own uptime. They
    are averaged exponentially with two time constants. Used from one
    thread; a report costs one look-up, an estimate a pass over the routers.
*/
class mix_estimator
{
public:
    /** Routers that are kept at most; further ones are ignored. */
    static constexpr std::size_t greatest_router_count = 1024;

    void on_report(const router_load_report& report, time_point now);

    /** The demand as known now; forgets routers not heard of for long. */
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
        router_load_report last;
        time_point received_at;
        std::chrono::milliseconds interval{0};
        /** Uptime over which rates were averaged since the last start. */
        std::chrono::milliseconds observed{0};
        rates fast;
        rates slow;
    };

    static rates rates_between(const router_load_report& older,
                               const router_load_report& newer);
    static void average(rates& into, const rates& sample, double weight);
    static void add(rates& sum, const rates& part);
    static token_demand demand_of(const rates& sum, double output_tokens);
    static bool is_fresh(const router_state& state, time_point now);

    std::map<std::string, router_state> routers_;
    /** Mean tokens of a finished answer; kept over quiet times. */
    double output_tokens_ = 0;
};

} // namespace hibiscusferry

#endif
