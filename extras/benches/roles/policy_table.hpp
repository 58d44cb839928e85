#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_POLICY_TABLE_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_POLICY_TABLE_HPP

#include "runner.hpp"
#include <map>

namespace hibiscusferry::roles_bench
{

/** The results of all policies for one scenario and seed. */
struct seed_results
{
    std::map<std::string, run_result> by_policy;
    /** Upper bound of the goodput, from the fluid model. */
    double bound = 0;
    /** Price of a role change in requests, without the requests lost while
        the engine is unavailable. */
    double price_requests = 0;
};

inline role_policy_settings settings_of(const scenario& config)
{
    role_policy_settings settings;
    settings.rules = config.rules;
    settings.capacity = config.capacity();
    return settings;
}

/** Calculates the price of a role change, in requests. The whole cost is
    change_duration / goodput_weight; the price leaves out the goodput lost
    while the engine is unavailable, because the plan already counts it. */
inline double change_price(const scenario& config, const request_trace& trace)
{
    const double change_duration_s =
        std::chrono::duration<double>(config.rules.change_duration).count();
    const double weight = std::max(0.001, config.rules.goodput_weight);
    return (change_duration_s / weight - change_duration_s) /
           trace.mean_engine_seconds;
}

/** Calculates the split with which all policies start; it is proportional to
    the mean prefill share of the scenario. */
inline role_split initial_split(const scenario& config)
{
    const int mixed = static_cast<int>(config.rules.min_mixed_engines);
    const int divided_engines = config.engines - mixed;
    const int prefill = std::clamp(
        static_cast<int>(std::lround(divided_engines * config.share)), 1,
        divided_engines - 1);
    return {prefill, divided_engines - prefill, mixed};
}

/** Runs several offline plans in the queue model and returns the best result.

    The planner models neither queues nor the time that an engine needs to
    finish its streams before a change. Therefore plans are calculated for
    several maximum utilisations and prices, and each plan is run on schedule
    and one slot early. The plan with the best weighted result is used; a plan
    without changes is among the candidates.
*/
inline run_result run_offline(const scenario& config,
                              const request_trace& trace, std::uint64_t seed,
                              seed_results& seed_result)
{
    const std::vector<slot_demand> slots = slot_demands(config, trace);
    const role_split initial = initial_split(config);
    const double price = change_price(config, trace);
    seed_result.bound =
        offline_planner(config, slots, price, 1.0).plan(initial).served /
        static_cast<double>(trace.requests.size());

    run_result best;
    double best_value = -std::numeric_limits<double>::infinity();
    const auto consider = [&](bench_policy& policy)
    {
        const run_result result =
            runner(config, trace, initial, balancing_policy::least_load, seed)
                .run(policy);
        const double value = result.good_requests - price * result.role_changes;
        if (value <= best_value)
            return;
        best_value = value;
        best = result;
    };
    bench_policy fixed_policy;
    consider(fixed_policy);
    for (const double utilisation : {0.85, 0.95, 1.0})
    {
        for (const double price_factor : {1.0, 2.5})
        {
            const offline_plan plan =
                offline_planner(config, slots, price * price_factor,
                                utilisation)
                    .plan(initial);
            for (const double lead_time_s : {0.0, plan_slot_s})
            {
                planned_policy policy(plan, lead_time_s);
                consider(policy);
            }
        }
    }
    return best;
}

/** Runs the policy with the given name, one of all_policies(). */
inline run_result run_policy(const std::string& name, const scenario& config,
                             const request_trace& trace, std::uint64_t seed,
                             seed_results& seed_result)
{
    if (name == "offline")
        return run_offline(config, trace, seed, seed_result);

    const balancing_policy balancing = name == "round_robin"
                                           ? balancing_policy::round_robin
                                           : balancing_policy::least_load;
    std::unique_ptr<bench_policy> policy;
    role_policy_settings settings = settings_of(config);
    if (name == "threshold")
        policy = std::make_unique<threshold_policy>(config);
    else if (name == "fixed" || name == "round_robin")
        policy = std::make_unique<bench_policy>();
    else
    {
        settings.use_expectations = name != "no_expectations";
        settings.use_forecast = name != "no_forecast";
        policy = std::make_unique<module_policy>(settings);
    }
    return runner(config, trace, initial_split(config), balancing, seed)
        .run(*policy);
}

inline const std::vector<std::string>& all_policies()
{
    static const std::vector<std::string> names{
        "policy",    "no_forecast", "no_expectations", "fixed",
        "threshold", "round_robin", "offline"};
    return names;
}

} // namespace hibiscusferry::roles_bench

#endif
