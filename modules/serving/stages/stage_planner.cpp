#include "serving/stages/stage_planner.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscusferry
{

namespace
{

using target_list = std::vector<std::shared_ptr<target_view>>;

target_list engines_of(const target_list& targets)
{
    target_list engines;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        const bool is_engine = target->record.stage != target_role::mixed;
        if (is_engine && !target->is_leaving)
            engines.push_back(target);
    }
    return engines;
}

std::size_t count_of(const target_list& engines, target_role stage)
{
    return static_cast<std::size_t>(
        std::count_if(engines.begin(), engines.end(),
                      [stage](const std::shared_ptr<target_view>& engine)
                      { return engine->record.stage == stage; }));
}

/** An engine of that stage from the zone that has most of them, the one with
    the least work first. */
target_list::iterator take_from(target_list& engines, target_role stage)
{
    std::map<std::string, std::size_t> in_zone;
    for (const std::shared_ptr<target_view>& engine : engines)
        in_zone[engine->record.availability_zone] +=
            engine->record.stage == stage ? 1 : 0;
    auto best = engines.end();
    for (auto engine = engines.begin(); engine != engines.end(); ++engine)
    {
        if ((*engine)->record.stage != stage)
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

stage_planner::stage_planner(const stage_plan_settings& settings)
    : settings_(settings)
{
}

std::vector<wanted_stage> stage_planner::plan(const target_list& targets,
                                              time_point now)
{
    target_list engines = engines_of(targets);
    if (engines.size() < 2)
        return {};
    for (const std::shared_ptr<target_view>& engine : engines)
    {
        if (now < engine->changing_until)
            return {};
    }

    const std::size_t readers = count_of(engines, target_role::prefill);
    const std::size_t most = engines.size() - 1;
    const std::size_t wanted = std::clamp<std::size_t>(
        static_cast<std::size_t>(std::lround(
            settings_.prefill_part * static_cast<double>(engines.size()))),
        1, most);
    const std::size_t difference =
        wanted > readers ? wanted - readers : readers - wanted;
    const bool lacks_a_stage = readers == 0 || readers == engines.size();
    const std::size_t tolerated =
        has_planned_ && !lacks_a_stage ? settings_.least_difference : 1;
    if (difference < tolerated)
    {
        differs_since_.reset();
        has_planned_ = true;
        return {};
    }
    if (!differs_since_)
        differs_since_ = now;
    const bool is_due = !has_planned_ || lacks_a_stage ||
                        now - *differs_since_ >= settings_.patience;
    if (!is_due)
        return {};

    has_planned_ = true;
    differs_since_.reset();
    const target_role from =
        wanted > readers ? target_role::decode : target_role::prefill;
    const target_role to =
        wanted > readers ? target_role::prefill : target_role::decode;
    std::vector<wanted_stage> changes;
    for (std::size_t step = 0; step < difference; ++step)
    {
        const auto engine = take_from(engines, from);
        if (engine == engines.end())
            break;
        changes.push_back({(*engine)->record.id, to});
        engines.erase(engine);
    }
    return changes;
}

} // namespace hibiscusferry
