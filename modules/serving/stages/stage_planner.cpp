#include "serving/stages/stage_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscusferry
{

namespace
{

target_list active_engines(const target_list& targets)
{
    target_list engines;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_engine = target->record.stage != target_role::mixed;
        if (is_engine && !target->is_withdrawn)
            engines.push_back(target);
    }
    return engines;
}

std::size_t count_stage(const target_list& engines, target_role stage,
                        time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [stage, now](const std::shared_ptr<target_view>& engine)
                      { return engine->upcoming_stage(now) == stage; }));
}

/** Returns the engines of a stage that have recently joined it and whose
    prefix caches are not warm yet. */
target_list recently_joined(const target_list& engines, target_role stage,
                            time_point now)
{
    target_list result;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(result),
                 [stage, now](const std::shared_ptr<target_view>& engine)
                 {
                     return engine->upcoming_stage(now) == stage &&
                            now < engine->cache_warm_at;
                 });
    return result;
}

/** Returns the engine of a stage to change next: the one with the fewest
    requests in the zone with the most engines of that stage. */
target_list::iterator select_engine(target_list& engines, target_role stage,
                                    time_point now)
{
    std::map<std::string, std::size_t> engines_per_zone;
    for (const std::shared_ptr<target_view>& engine : engines)
        engines_per_zone[engine->record.availability_zone] +=
            engine->upcoming_stage(now) == stage ? 1 : 0;
    auto best = engines.end();
    for (auto engine = engines.begin(); engine != engines.end(); ++engine)
    {
        if ((*engine)->upcoming_stage(now) != stage ||
            now < (*engine)->stage_change_until)
            continue;
        if (best == engines.end())
        {
            best = engine;
            continue;
        }
        const std::size_t zone_count =
            engines_per_zone[(*engine)->record.availability_zone];
        const std::size_t best_zone_count =
            engines_per_zone[(*best)->record.availability_zone];
        const bool is_better =
            zone_count > best_zone_count ||
            (zone_count == best_zone_count &&
             (*engine)->requests.level() < (*best)->requests.level());
        if (is_better)
            best = engine;
    }
    return best;
}

} // namespace

double planned_prefill_fraction(const engine_properties& engine,
                                const stage_demand& demand, std::size_t zones)
{
    // Decode engines also run the streams, and their load is uneven.
    constexpr double decode_reserve = 1.3;
    // Completions of prompts that decode engines prefill themselves come in
    // bursts, and are not part of the demand.
    constexpr double min_fraction = 0.5;
    constexpr double max_fraction = 0.8;
    const double cross_zone_fraction =
        1 - 1 / static_cast<double>(std::max<std::size_t>(zones, 1));
    const double fetch_ms = engine.link_megabits_per_second > 0
                                ? (1 + cross_zone_fraction) *
                                      demand.fetched_tokens *
                                      engine.kv_bytes_per_token * 8 /
                                      engine.link_megabits_per_second / 1000
                                : 0;
    const double slot_ms = demand.slot_ms / std::max(engine.slots, 1U);
    const double decode_ms = std::max(decode_reserve * fetch_ms, slot_ms);
    const double total_ms = demand.prefill_ms + decode_ms;
    if (total_ms <= 0)
        return min_fraction;
    return std::clamp(demand.prefill_ms / total_ms, min_fraction, max_fraction);
}

stage_planner::stage_planner(const stage_planner_settings& settings)
    : settings_(settings)
    , is_initial_plan_complete_(settings.is_already_divided)
{
}

void stage_planner::set_prefill_fraction(double fraction, time_point now)
{
    observed_fraction_ = fraction;
    if (!observed_since_)
        observed_since_ = now;
    if (is_observed_plan_applied_)
        return;
    const bool is_clear =
        std::abs(fraction - settings_.initial_prefill_fraction) >=
        settings_.min_clear_difference;
    // At first, caches are cold and prompts take longer than later.
    if (!settings_.is_already_divided &&
        now - *observed_since_ < settings_.observation_time)
        return;
    is_observed_plan_applied_ = true;
    is_initial_plan_complete_ = !is_clear;
    matching_since_.reset();
}

std::size_t stage_planner::min_difference(std::size_t engines) const
{
    const double fraction_of_engines =
        settings_.min_difference_fraction * static_cast<double>(engines);
    return std::max(settings_.min_difference,
                    static_cast<std::size_t>(std::lround(fraction_of_engines)));
}

std::size_t
stage_planner::desired_prefill_engines(std::size_t engines,
                                       std::size_t prefill_engines) const
{
    const bool is_unobserved = !observed_fraction_;
    const bool is_stage_missing =
        prefill_engines == 0 || prefill_engines == engines;
    if (is_unobserved && settings_.is_already_divided && !is_stage_missing)
        return prefill_engines;
    // Until the observed plan is due, corrections follow the initial one.
    const double fraction = is_observed_plan_applied_ && observed_fraction_
                                ? *observed_fraction_
                                : settings_.initial_prefill_fraction;
    const double desired = fraction * static_cast<double>(engines);
    return std::clamp<std::size_t>(
        static_cast<std::size_t>(std::lround(desired)), 1, engines - 1);
}

bool stage_planner::is_change_due(std::size_t difference,
                                  std::size_t min_difference,
                                  bool is_stage_missing, time_point now)
{
    const std::size_t required_difference =
        is_initial_plan_complete_ && !is_stage_missing ? min_difference : 1;
    if (difference < required_difference)
    {
        differing_since_.reset();
        if (!matching_since_)
            matching_since_ = now;
        if (now - *matching_since_ >= settings_.stabilization_time)
            is_initial_plan_complete_ = true;
        return false;
    }
    matching_since_.reset();
    if (!is_initial_plan_complete_ || is_stage_missing)
        return true;
    if (!differing_since_)
        differing_since_ = now;
    if (now - *differing_since_ < settings_.correction_delay)
        return false;
    differing_since_.reset();
    return true;
}

std::vector<stage_change> stage_planner::plan(const target_list& targets,
                                              time_point now)
{
    target_list engines = active_engines(targets);
    if (engines.size() < 2)
        return {};
    const std::size_t prefill_engines =
        count_stage(engines, target_role::prefill, now);
    const std::size_t desired =
        desired_prefill_engines(engines.size(), prefill_engines);
    const std::size_t difference = desired > prefill_engines
                                       ? desired - prefill_engines
                                       : prefill_engines - desired;
    const bool is_stage_missing =
        prefill_engines == 0 || prefill_engines == engines.size();
    const target_role current_stage =
        desired > prefill_engines ? target_role::decode : target_role::prefill;
    const target_role new_stage =
        desired > prefill_engines ? target_role::prefill : target_role::decode;
    const std::size_t large_difference = min_difference(engines.size());
    const bool is_large = difference >= large_difference;
    if (!is_change_due(difference, large_difference, is_stage_missing, now))
        engines = is_large ? recently_joined(engines, current_stage, now)
                           : target_list{};
    std::vector<stage_change> changes;
    for (std::size_t step = 0; step < difference; ++step)
    {
        const auto engine = select_engine(engines, current_stage, now);
        if (engine == engines.end())
            break;
        changes.push_back({(*engine)->record.id, new_stage});
        engines.erase(engine);
    }
    return changes;
}

} // namespace hibiscusferry
