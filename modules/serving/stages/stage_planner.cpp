#include "serving/stages/stage_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscusferry
{

namespace
{

target_list engines_of(const target_list& targets)
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

std::size_t count_of(const target_list& engines, target_role stage,
                     time_point now)
{
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [stage, now](const std::shared_ptr<target_view>& engine)
                      { return engine->coming_stage(now) == stage; }));
}

/** Engines of that stage that have joined lately and have little to lose. */
target_list newcomers(const target_list& engines, target_role stage,
                      time_point now)
{
    target_list found;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(found),
                 [stage, now](const std::shared_ptr<target_view>& engine) {
                     return engine->coming_stage(now) == stage &&
                            now < engine->settles_at;
                 });
    return found;
}

/** An engine of that stage from the zone that has most of them, the one with
    the least work first. */
target_list::iterator take_from(target_list& engines, target_role stage,
                                time_point now)
{
    std::map<std::string, std::size_t> in_zone;
    for (const std::shared_ptr<target_view>& engine : engines)
        in_zone[engine->record.availability_zone] +=
            engine->coming_stage(now) == stage ? 1 : 0;
    auto best = engines.end();
    for (auto engine = engines.begin(); engine != engines.end(); ++engine)
    {
        if ((*engine)->coming_stage(now) != stage ||
            now < (*engine)->stage_change_until)
            continue;
        if (best == engines.end())
        {
            best = engine;
            continue;
        }
        const std::size_t here = in_zone[(*engine)->record.availability_zone];
        const std::size_t there = in_zone[(*best)->record.availability_zone];
        const bool is_better =
            here > there || (here == there && (*engine)->requests.level() <
                                                  (*best)->requests.level());
        if (is_better)
            best = engine;
    }
    return best;
}

} // namespace

double planned_prefill_fraction(const engine_properties& engine,
                                const engine_speeds& speeds,
                                const reference_prompt& wanted)
{
    /** Fetches that cross zones take twice as long; two of three do. */
    constexpr double zone_factor = 5.0 / 3;
    /** Decoders also run the streams, and loads of engines are uneven. */
    constexpr double decode_reserve = 1.3;
    constexpr double least = 0.5;
    constexpr double greatest = 0.8;
    if (engine.link_megabits_per_second <= 0)
        return least;
    const double reading_ms =
        wanted.pending_prefill_tokens / speeds.prefill_tokens_per_ms;
    const double fetching_ms = wanted.tokens * engine.kv_bytes_per_token * 8 /
                               engine.link_megabits_per_second / 1000;
    const double slot_ms = wanted.output_tokens *
                           speeds.slot_ms_per_output_token /
                           std::max(engine.slots, 1U);
    const double decoding_ms =
        std::max(decode_reserve * zone_factor * fetching_ms, slot_ms);
    const double part = reading_ms / (reading_ms + decoding_ms);
    return std::clamp(part, least, greatest);
}

stage_planner::stage_planner(const stage_planner_settings& settings)
    : settings_(settings)
{
}

std::size_t stage_planner::wanted_readers(std::size_t engines) const
{
    const double part = settings_.prefill_part * static_cast<double>(engines);
    return std::clamp<std::size_t>(static_cast<std::size_t>(std::lround(part)),
                                   1, engines - 1);
}

bool stage_planner::is_due(std::size_t difference, bool lacks_a_stage,
                           time_point now)
{
    const std::size_t tolerated =
        has_settled_ && !lacks_a_stage ? settings_.least_difference : 1;
    if (difference < tolerated)
    {
        differs_since_.reset();
        if (!agrees_since_)
            agrees_since_ = now;
        if (now - *agrees_since_ >= settings_.settling)
            has_settled_ = true;
        return false;
    }
    agrees_since_.reset();
    if (!has_settled_ || lacks_a_stage)
        return true;
    if (!differs_since_)
        differs_since_ = now;
    if (now - *differs_since_ < settings_.patience)
        return false;
    differs_since_.reset();
    return true;
}

std::vector<stage_change> stage_planner::plan(const target_list& targets,
                                              time_point now)
{
    target_list engines = engines_of(targets);
    if (engines.size() < 2)
        return {};
    const std::size_t prefill_engines =
        count_of(engines, target_role::prefill, now);
    const std::size_t wanted = wanted_readers(engines.size());
    const std::size_t difference = wanted > prefill_engines
                                       ? wanted - prefill_engines
                                       : prefill_engines - wanted;
    const bool lacks_a_stage =
        prefill_engines == 0 || prefill_engines == engines.size();
    const target_role from =
        wanted > prefill_engines ? target_role::decode : target_role::prefill;
    const target_role to =
        wanted > prefill_engines ? target_role::prefill : target_role::decode;
    const bool is_great = difference >= settings_.least_difference;
    if (!is_due(difference, lacks_a_stage, now))
        engines = is_great ? newcomers(engines, from, now) : target_list{};
    std::vector<stage_change> changes;
    for (std::size_t step = 0; step < difference; ++step)
    {
        const auto engine = take_from(engines, from, now);
        if (engine == engines.end())
            break;
        changes.push_back({(*engine)->record.id, to});
        engines.erase(engine);
    }
    return changes;
}

} // namespace hibiscusferry
