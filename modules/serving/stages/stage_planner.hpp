#ifndef HIBISCUSFERRY_SERVING_STAGES_STAGE_PLANNER_HPP
#define HIBISCUSFERRY_SERVING_STAGES_STAGE_PLANNER_HPP

#include "serving/scheduling/engine_scheduler.hpp"
#include "serving/scheduling/target_registry.hpp"
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Settings for dividing the engines of a service between the stages. */
struct stage_planner_settings
{
    /** Fraction of the engines that serve as prefill engines. */
    double prefill_fraction = 0.64;
    /** A difference from the plan is corrected only after it has lasted this
        long. The initial plan of a service is applied immediately. */
    std::chrono::milliseconds correction_delay{6000};
    /** The initial plan is complete when the division has matched it for this
        long; until then, engines are still joining. */
    std::chrono::milliseconds stabilization_time{4000};
    /** Smaller differences, in engines, are ignored once the initial plan is
        complete. */
    std::size_t min_difference = 2;
};

/** The prompt for which the division of engines is planned before any traffic
    has been observed. */
struct reference_prompt
{
    /** Length of a typical long prompt. */
    double tokens = 9200;
    /** The request-specific block and a tenth of the shared prefix. */
    double pending_prefill_tokens = 3500;
    double output_tokens = 2;
};

/** Returns the fraction of a service's engines that should be prefill engines,
    so that both stages can process the same number of prompts per second. A
    prefill engine is occupied by the uncached tokens of a prompt. A decode
    engine is occupied by fetching the KV cache of the whole prompt, in two out
    of three cases from another zone at half the speed, or by the slots that
    completions hold. */
double planned_prefill_fraction(const engine_properties& engine,
                                const engine_speeds& speeds,
                                const reference_prompt& prompt);

/** A stage change that an engine should be ordered to make. */
struct stage_change
{
    std::string target;
    target_role stage = target_role::decode;
};

/** Divides the engines of one service between prefill and decode.

    Designed for a load that alternates between long prompts and long
    completions every few seconds, while a stage change makes an engine
    unavailable for about as long. Such short-term swings are handled by the
    scheduling of requests. The division is corrected only for lasting
    differences, such as the loss of engines. Engines that have recently joined,
    for example while a fleet is replaced, change their stage immediately, since
    they have no requests and no cached prefixes to lose.

    Engines are selected from the zone that has the most engines of the stage to
    be reduced, so that every zone keeps engines of both stages.
*/
class stage_planner
{
public:
    explicit stage_planner(const stage_planner_settings& settings);

    /** Returns the stage changes to order now. Changes in progress count as
        complete. */
    std::vector<stage_change>
    plan(const std::vector<std::shared_ptr<target_view>>& targets,
         time_point now);

private:
    std::size_t desired_prefill_engines(std::size_t engines) const;
    bool is_change_due(std::size_t difference, bool is_stage_missing,
                       time_point now);

    stage_planner_settings settings_;
    bool is_initial_plan_complete_ = false;
    std::optional<time_point> matching_since_;
    std::optional<time_point> differing_since_;
};

} // namespace hibiscusferry

#endif
