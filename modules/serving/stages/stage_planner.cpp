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
                                const engine_speeds& speeds,
                                const reference_prompt& prompt)
{
    // Two out of three fetches cross zones, which takes twice as long.
    constexpr double zone_factor = 5.0 / 3;
    // Decode engines also run the streams, and their load is uneven.
    constexpr double decode_reserve = 1.3;
    constexpr double min_fraction = 0.5;
    constexpr double max_fraction = 0.8;
    if (engine.link_megabits_per_second <= 0)
        return min_fraction;
    const double prefill_ms =
        prompt.pending_prefill_tokens / speeds.prefill_tokens_per_ms;
    const double fetch_ms = prompt.tokens * engine.kv_bytes_per_token * 8 /
                            engine.link_megabits_per_second / 1000;
    const double slot_ms = prompt.output_tokens *
                           speeds.slot_ms_per_output_token /
                           std::max(engine.slots, 1U);
    const double decode_ms =
        std::max(decode_reserve * zone_factor * fetch_ms, slot_ms);
    const double fraction = prefill_ms / (prefill_ms + decode_ms);
    return std::clamp(fraction, min_fraction, max_fraction);
}

stage_planner::stage_planner(const stage_planner_settings& settings)
    : settings_(settings)
{
}

std::size_t stage_planner::desired_prefill_engines(std::size_t engines) const
{
    const double desired =
        settings_.prefill_fraction * static_cast<double>(engines);
    return std::clamp<std::size_t>(
        static_cast<std::size_t>(std::lround(desired)), 1, engines - 1);
}

bool stage_planner::is_change_due(std::size_t difference, bool is_stage_missing,
                                  time_point now)
{
    const std::size_t required_difference =
        is_initial_plan_complete_ && !is_stage_missing
            ? settings_.min_difference
            : 1;
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
    const std::size_t desired = desired_prefill_engines(engines.size());
    const std::size_t difference = desired > prefill_engines
                                       ? desired - prefill_engines
                                       : prefill_engines - desired;
    const bool is_stage_missing =
        prefill_engines == 0 || prefill_engines == engines.size();
    const target_role current_stage =
        desired > prefill_engines ? target_role::decode : target_role::prefill;
    const target_role new_stage =
        desired > prefill_engines ? target_role::prefill : target_role::decode;
    const bool is_large = difference >= settings_.min_difference;
    if (!is_change_due(difference, is_stage_missing, now))
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
