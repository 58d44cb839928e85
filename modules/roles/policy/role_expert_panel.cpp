#include "roles/policy/role_expert_panel.hpp"

#include <array>

namespace hibiscusferry
{

namespace
{

/** Factors on the cost of a change. The last one all but never changes. */
constexpr std::array<double, 5> patiences{0.25, 0.5, 1.0, 3.0, 1000.0};
/** The one that is followed at first: the ski-rental rule. */
constexpr std::size_t first_followed = 1;

} // namespace

role_expert_panel::role_expert_panel(bool use_forecast)
    : followed_(first_followed)
{
    for (const double patience : patiences)
        experts_.emplace_back(patience, false);
    if (use_forecast)
        experts_.emplace_back(1.0, true);
}

void role_expert_panel::prepare(const expert_settings& settings,
                                const role_split& present)
{
    change_cost_ = settings.work.change_cost;
    for (role_expert& expert : experts_)
        expert.prepare(settings, present);
}

void role_expert_panel::advance(const engine_demand& demand,
                                std::chrono::nanoseconds elapsed,
                                double loss_scale,
                                const std::vector<engine_demand>& coming,
                                std::chrono::nanoseconds step, bool may_change,
                                time_point now)
{
    for (role_expert& expert : experts_)
        expert.advance(demand, elapsed, loss_scale, coming, step, may_change,
                       now);
}

role_split role_expert_panel::target(const role_split& present)
{
    // Leaving an expert costs the changes from its split, and one more so
    // that two alike experts do not take turns.
    double best = experts_[followed_].record();
    for (std::size_t number = 0; number < experts_.size(); ++number)
    {
        const role_expert& expert = experts_[number];
        const int changes = 1 + changes_between(present, expert.split());
        const double total = expert.record() + change_cost_ * changes;
        if (number != followed_ && total < best)
        {
            best = total;
            followed_ = number;
        }
    }
    return experts_[followed_].split();
}

const role_expert& role_expert_panel::followed() const
{
    return experts_[followed_];
}

} // namespace hibiscusferry
