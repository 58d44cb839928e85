#include "roles/policy/role_expert.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** The time constant with which the accumulated cost decays. */
constexpr std::chrono::minutes cost_time_constant{20};

} // namespace

role_expert::role_expert(double cost_factor, bool uses_forecast)
    : cost_factor_(cost_factor)
    , uses_forecast_(uses_forecast)
{
}

void role_expert::prepare(const expert_settings& settings,
                          const role_split& current)
{
    const bool is_unchanged =
        settings_ && split_.engines() == current.engines() &&
        settings_->work_function == settings.work_function;
    settings_ = settings;
    if (is_unchanged)
        return;
    split_ = current;
    simulated_changes_.clear();
    work_function_settings scaled_settings = settings.work_function;
    scaled_settings.change_cost *= cost_factor_;
    work_function_.prepare(scaled_settings, current);
}

void role_expert::advance(const engine_demand& demand,
                          std::chrono::nanoseconds elapsed, double loss_scale,
                          const std::vector<engine_demand>& predicted_demand,
                          std::chrono::nanoseconds step, bool may_change,
                          time_point now)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    simulated_changes_.erase(
        std::remove_if(simulated_changes_.begin(), simulated_changes_.end(),
                       [now](const simulated_change& change)
                       { return change.ends_at <= now; }),
        simulated_changes_.end());
    const double time_constant_seconds =
        std::chrono::duration<double>(cost_time_constant).count();
    accumulated_cost_ =
        accumulated_cost_ * std::exp(-seconds / time_constant_seconds) +
        seconds * loss_scale *
            loss_rate(serving_split(now), demand,
                      settings_->work_function.mixed_efficiency);
    work_function_.charge(demand, elapsed, loss_scale);
    if (!may_change)
        return;

    const role_split target =
        uses_forecast_ && !predicted_demand.empty()
            ? work_function_.plan_target(split_, predicted_demand, step)
            : work_function_.target(split_);
    // The accumulated cost already includes the loss while the engine is
    // unavailable.
    const double remaining_penalty =
        settings_->work_function.change_cost -
        std::chrono::duration<double>(settings_->change_duration).count();
    while (split_ != target && static_cast<int>(simulated_changes_.size()) <
                                   settings_->max_unavailable)
    {
        const role_step role_move = first_step(split_, target);
        --split_.of(role_move.from);
        ++split_.of(role_move.to);
        const time_point starts_at = now + settings_->demand_lag;
        simulated_changes_.push_back(
            {role_move.from, role_move.to, starts_at,
             starts_at + settings_->unavailable_duration});
        accumulated_cost_ += std::max(0.0, remaining_penalty);
    }
}

const role_split& role_expert::split() const
{
    return split_;
}

double role_expert::accumulated_cost() const
{
    return accumulated_cost_;
}

double role_expert::regret(const role_split& current) const
{
    return work_function_.regret(current);
}

bool role_expert::uses_forecast() const
{
    return uses_forecast_;
}

role_split role_expert::serving_split(time_point now) const
{
    role_split current = split_;
    for (const simulated_change& change : simulated_changes_)
    {
        current.of(change.to) = std::max(0, current.of(change.to) - 1);
        if (now < change.starts_at)
            ++current.of(change.from);
    }
    return current;
}

} // namespace hibiscusferry
