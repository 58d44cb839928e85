#include "roles/policy/role_expert_panel.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

/** Factors applied to the cost of a change. The expert with the last one almost
    never makes a change. */
constexpr std::array<double, 5> cost_factors{0.25, 0.5, 1.0, 3.0, 1000.0};
/** The index of the expert selected initially: the one that follows the
    ski-rental rule. */
constexpr std::size_t initial_expert = 1;

} // namespace

role_expert_panel::role_expert_panel(bool use_forecast)
    : selected_(initial_expert)
{
    for (const double cost_factor : cost_factors)
        experts_.emplace_back(cost_factor, false);
    if (use_forecast)
        experts_.emplace_back(1.0, true);
}

void role_expert_panel::prepare(const expert_settings& settings,
                                const role_split& current)
{
    change_cost_ = settings.work_function.change_cost;
    for (role_expert& expert : experts_)
        expert.prepare(settings, current);
}

void role_expert_panel::advance(
    const engine_demand& demand, std::chrono::nanoseconds elapsed,
    double loss_scale, const std::vector<engine_demand>& predicted_demand,
    std::chrono::nanoseconds step, bool may_change, time_point now)
{
    for (role_expert& expert : experts_)
        expert.advance(demand, elapsed, loss_scale, predicted_demand, step,
                       may_change, now);
}

role_split role_expert_panel::target(const role_split& current)
{
    // Switching to an expert costs the changes to its split and one additional
    // change, which prevents alternating between two similar experts.
    double best_cost = experts_[selected_].accumulated_cost();
    for (std::size_t index = 0; index < experts_.size(); ++index)
    {
        const role_expert& expert = experts_[index];
        const int change_count = 1 + changes_between(current, expert.split());
        const double total_cost =
            expert.accumulated_cost() + change_cost_ * change_count;
        if (index != selected_ && total_cost < best_cost)
        {
            best_cost = total_cost;
            selected_ = index;
        }
    }
    return experts_[selected_].split();
}

const role_expert& role_expert_panel::selected() const
{
    return experts_[selected_];
}

} // namespace hibiscusferry
