#include "roles/policy/role_expert.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** Over how long a record fades. */
constexpr std::chrono::minutes record_memory{20};

} // namespace

role_expert::role_expert(double patience, bool uses_forecast)
    : patience_(patience)
    , uses_forecast_(uses_forecast)
{
}

void role_expert::prepare(const expert_settings& settings,
                          const role_split& present)
{
    const bool same = settings_ && split_.engines() == present.engines() &&
                      settings_->work == settings.work;
    settings_ = settings;
    if (same)
        return;
    split_ = present;
    away_.clear();
    work_function_settings own = settings.work;
    own.change_cost *= patience_;
    work_.prepare(own, present);
}

void role_expert::advance(const engine_demand& demand,
                          std::chrono::nanoseconds elapsed, double loss_scale,
                          const std::vector<engine_demand>& coming,
                          std::chrono::nanoseconds step, bool may_change,
                          time_point now)
{
    const double seconds = std::chrono::duration<double>(elapsed).count();
    away_.erase(std::remove_if(away_.begin(), away_.end(),
                               [now](const paper_change& change)
                               { return change.ends_at <= now; }),
                away_.end());
    const double memory = std::chrono::duration<double>(record_memory).count();
    record_ =
        record_ * std::exp(-seconds / memory) +
        seconds * loss_scale *
            loss_rate(serving(now), demand, settings_->work.mixed_efficiency);
    work_.charge(demand, elapsed, loss_scale);
    if (!may_change)
        return;

    const role_split target = uses_forecast_ && !coming.empty()
                                  ? work_.planned_target(split_, coming, step)
                                  : work_.target(split_);
    // The loss while the engine is away is in the record already.
    const double price =
        settings_->work.change_cost -
        std::chrono::duration<double>(settings_->change_duration).count();
    while (split_ != target &&
           static_cast<int>(away_.size()) < settings_->max_unavailable)
    {
        const role_step taken = first_step(split_, target);
        --split_.of(taken.from);
        ++split_.of(taken.to);
        const time_point begins_at = now + settings_->lag;
        away_.push_back({taken.from, taken.to, begins_at,
                         begins_at + settings_->away_duration});
        record_ += std::max(0.0, price);
    }
}

const role_split& role_expert::split() const
{
    return split_;
}

double role_expert::record() const
{
    return record_;
}

double role_expert::regret(const role_split& present) const
{
    return work_.regret(present);
}

bool role_expert::uses_forecast() const
{
    return uses_forecast_;
}

role_split role_expert::serving(time_point now) const
{
    role_split present = split_;
    for (const paper_change& change : away_)
    {
        present.of(change.to) = std::max(0, present.of(change.to) - 1);
        if (now < change.begins_at)
            ++present.of(change.from);
    }
    return present;
}

} // namespace hibiscusferry
