#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_HPP

#include "foundation/foundation.hpp"
#include "roles/policy/role_work_function.hpp"
#include <chrono>
#include <optional>
#include <vector>

namespace hibiscusferry
{

/** The settings shared by all experts of a pool. */
struct expert_settings
{
    work_function_settings work_function;
    /** The duration of a change according to the document. The cost of a
        change includes the engine time lost during it. */
    std::chrono::nanoseconds change_duration{0};
    /** The observed time for which engines are unavailable during a change,
        including draining. */
    std::chrono::nanoseconds unavailable_duration{0};
    /** The delay of the estimated demand behind the actual demand. */
    std::chrono::nanoseconds demand_lag{0};
    /** The maximum number of engines unavailable at the same time. */
    int max_unavailable = 1;
};

/** A simulated decision strategy: tracks the changes that it would have made
    and the cost that these would have caused.

    An expert is a work function that multiplies the document's cost of a
    change by `cost_factor`. With a small factor it follows a shift at once;
    with a large factor it waits until the shift has lost a multiple of the
    cost of a change. Its accumulated cost is an exponentially decaying sum of
    the loss of its own split, with engines unavailable during its changes, and
    of the document's cost of these changes.
*/
class role_expert
{
public:
    /** @param cost_factor  the factor applied to the cost of a change
        @param uses_forecast  whether it uses the predicted demand while a
                              period is trusted */
    role_expert(double cost_factor, bool uses_forecast);

    /** Restarts from `current` if the pool size or the work function settings
        have changed. The accumulated cost is retained. */
    void prepare(const expert_settings& settings, const role_split& current);

    /** Simulates the demand for the duration `elapsed`, then decides.
        @param loss_scale  the factor applied to loss_rate(), below 1 if fewer
                           requests are refused than the model predicts
        @param predicted_demand  the predicted demand in steps of `step`, or
                                 empty
        @param may_change  whether the expert may start changes */
    void advance(const engine_demand& demand, std::chrono::nanoseconds elapsed,
                 double loss_scale,
                 const std::vector<engine_demand>& predicted_demand,
                 std::chrono::nanoseconds step, bool may_change,
                 time_point now);

    /** The split that results from its changes. */
    const role_split& split() const;

    /** The decaying sum of losses and change costs, in engine-seconds. */
    double accumulated_cost() const;

    /** See role_work_function::regret. */
    double regret(const role_split& current) const;

    bool uses_forecast() const;

private:
    struct simulated_change
    {
        engine_role from;
        engine_role to;
        time_point starts_at;
        time_point ends_at;
    };

    role_split serving_split(time_point now) const;

    double cost_factor_;
    bool uses_forecast_;
    std::optional<expert_settings> settings_;
    role_work_function work_function_;
    role_split split_;
    /** Simulated changes in progress. They start after the demand lag, because
        the estimated demand they are compared with is delayed by it. */
    std::vector<simulated_change> simulated_changes_;
    double accumulated_cost_ = 0;
};

} // namespace hibiscusferry

#endif
