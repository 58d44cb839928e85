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
    /** Fraction of the engines that serve as prefill engines before any demand
        has been observed. The existing one if the engines are already
        divided. */
    double initial_prefill_fraction = 0.62;
    /** Whether the engines have already been divided, by another host. The
        existing division is then kept until demand has been observed, and
        replaced at once if the demand differs clearly from it: the former
        holder may have been lost before it could do so. */
    bool is_already_divided = false;
    /** The demand is observed for this long before a plan that is based on it
        replaces the initial one, if they differ clearly. */
    std::chrono::milliseconds observation_time{4000};
    /** The difference between the two that is clear, as a fraction of the
        engines. */
    double min_clear_difference = 0.15;
    /** A difference from the plan is corrected only after it has lasted this
        long. The initial plan of a service is applied immediately. */
    std::chrono::milliseconds correction_delay{6000};
    /** The initial plan is complete when the division has matched it for this
        long; until then, engines are still joining. */
    std::chrono::milliseconds stabilization_time{4000};
    /** Smaller differences are ignored once the initial plan is complete: in
        engines, and as a fraction of them. */
    std::size_t min_difference = 2;
    double min_difference_fraction = 0.08;
};

/** Returns the fraction of a service's engines that should be prefill engines,
    so that both stages can process the same number of generations per second.
    A prefill engine is occupied by the tokens of a prompt that are not cached.
    A decode engine is occupied by fetching the KV cache of the whole prompt,
    which takes twice as long from another zone, or by the slots that
    generations hold.
    @param zones  number of availability zones with engines */
double planned_prefill_fraction(const engine_properties& engine,
                                const stage_demand& demand, std::size_t zones);

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

    /** Sets the fraction of the engines that should be prefill engines,
        according to the observed demand. If the first one that has lasted
        differs clearly from the division, it is applied exactly and at once;
        otherwise corrections follow the usual hysteresis. */
    void set_prefill_fraction(double fraction, time_point now);

    /** Returns the stage changes to order now. Changes in progress count as
        complete. */
    std::vector<stage_change>
    plan(const std::vector<std::shared_ptr<target_view>>& targets,
         time_point now);

private:
    std::size_t desired_prefill_engines(std::size_t engines,
                                        std::size_t prefill_engines) const;
    std::size_t min_difference(std::size_t engines) const;
    bool is_change_due(std::size_t difference, std::size_t min_difference,
                       bool is_stage_missing, time_point now);

    stage_planner_settings settings_;
    /** None before any demand has been observed. */
    std::optional<double> observed_fraction_;
    std::optional<time_point> observed_since_;
    bool is_observed_plan_applied_ = false;
    bool is_initial_plan_complete_ = false;
    std::optional<time_point> matching_since_;
    std::optional<time_point> differing_since_;
};

} // namespace hibiscusferry

#endif
