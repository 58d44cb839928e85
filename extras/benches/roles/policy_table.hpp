#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_POLICY_TABLE_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_POLICY_TABLE_HPP

#include "runner.hpp"
#include <map>

namespace hibiscusferry::roles_bench
{

/** All results of one scenario and seed, by policy. */
struct seed_results
{
    std::map<std::string, run_result> by_policy;
    /** What the fluid programme could serve at most, as goodput. */
    double bound = 0;
    /** The price of a change beyond the time away, in requests. */
    double price_requests = 0;
};

inline role_policy_settings settings_of(const scenario& of)
{
    role_policy_settings settings;
    settings.rules = of.rules;
    settings.capacity = of.capacity();
    return settings;
}

/** What a change costs the plan beyond the goodput that it loses while the
    engine is away: with the whole cost change_duration / weight, the rest. */
inline double price_of(const scenario& of, const request_trace& trace)
{
    const double away_s =
        std::chrono::duration<double>(of.rules.change_duration).count();
    const double weight = std::max(0.001, of.rules.goodput_weight);
    return (away_s / weight - away_s) / trace.mean_engine_seconds;
}

/** The split in proportion to a scenario's first mix; where all begin. */
inline role_split first_split(const scenario& of)
{
    const int mixed = static_cast<int>(of.rules.min_mixed_engines);
    const int rest = of.engines - mixed;
    const int prefill =
        std::clamp(static_cast<int>(std::lround(rest * of.share)), 1, rest - 1);
    return {prefill, rest - prefill, mixed};
}

/** The best of several plans, each carried out in the queue model.

    The programme knows neither queues nor how long an engine takes to finish
    its streams before a change. So it is solved for several usable
    utilisations and prices, each plan is carried out in time and one slot
    early, and the plan with the best weighted result stands; never to change
    is among them.
*/
inline run_result run_offline(const scenario& of, const request_trace& trace,
                              std::uint64_t seed, seed_results& into)
{
    const std::vector<slot_demand> slots = slots_of(of, trace);
    const role_split first = first_split(of);
    const double price = price_of(of, trace);
    into.bound = offline_planner(of, slots, price, 1.0).plan(first).served /
                 static_cast<double>(trace.requests.size());

    run_result best;
    double best_value = -std::numeric_limits<double>::infinity();
    const auto consider = [&](bench_policy& policy)
    {
        const run_result result =
            runner(of, trace, first, spreading::least_load, seed).run(policy);
        const double value = result.good_requests - price * result.role_changes;
        if (value <= best_value)
            return;
        best_value = value;
        best = result;
    };
    bench_policy never_changing;
    consider(never_changing);
    for (const double utilisation : {0.85, 0.95, 1.0})
    {
        for (const double price_factor : {1.0, 2.5})
        {
            const offline_plan plan =
                offline_planner(of, slots, price * price_factor, utilisation)
                    .plan(first);
            for (const double lead_s : {0.0, plan_slot_s})
            {
                planned_policy policy(plan, lead_s);
                consider(policy);
            }
        }
    }
    return best;
}

/** Runs the named policy; the names are those of all_policies(). */
inline run_result run_named(const std::string& name, const scenario& of,
                            const request_trace& trace, std::uint64_t seed,
                            seed_results& into)
{
    if (name == "offline")
        return run_offline(of, trace, seed, into);

    const spreading spread =
        name == "round_robin" ? spreading::round_robin : spreading::least_load;
    std::unique_ptr<bench_policy> policy;
    role_policy_settings settings = settings_of(of);
    if (name == "threshold")
        policy = std::make_unique<threshold_policy>(of);
    else if (name == "fixed" || name == "round_robin")
        policy = std::make_unique<bench_policy>();
    else
    {
        settings.use_expectations = name != "no_expectations";
        settings.use_forecast = name != "no_forecast";
        policy = std::make_unique<module_policy>(settings);
    }
    return runner(of, trace, first_split(of), spread, seed).run(*policy);
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
