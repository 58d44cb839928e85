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

/** How a service's engines are to be divided. */
struct stage_planner_settings
{
    /** Part of the engines that read prompts only. */
    double prefill_part = 0.64;
    /** A difference from the plan is corrected only after it lasted this
        long; the first plan of a service is made at once. */
    std::chrono::milliseconds patience{6000};
    /** The first plan is made when the division has been as planned for this
        long; until then engines are still joining. */
    std::chrono::milliseconds settling{4000};
    /** Differences of fewer engines are left alone after the first plan. */
    std::size_t least_difference = 2;
};

/** The prompts that a division of engines is planned for before any traffic
    was seen. */
struct reference_prompt
{
    /** Today's long prompts, all parts. */
    double tokens = 9200;
    /** Their own part, and a tenth of the shared ones. */
    double pending_prefill_tokens = 3500;
    double output_tokens = 2;
};

/** The part of a service's engines that is to read prompts, so that readers
    and decoders can pass the same number of prompts: a reader is busy with
    the unread tokens; a decoder with fetching all of them, two thirds from
    other zones at half the speed, or with the slots that answers hold. */
double planned_prefill_fraction(const engine_properties& engine,
                                const engine_speeds& speeds,
                                const reference_prompt& wanted);

/** A change of stage that is wanted. */
struct stage_change
{
    std::string target;
    target_role stage = target_role::decode;
};

/** Divides the engines of one service between reading prompts and decoding.

    Load it answers: a mix that swings between long prompts and long answers
    every few seconds, while a change takes an engine away for as long as a
    swing lasts. Swings are left to the placing of requests; the division is
    corrected only for what lasts, such as engines that were lost. Engines that
    have just joined, as when a fleet is replaced, are set right at once: they
    have no work and keep nothing yet.
    Engines are taken from the zone that has the most of the other stage, so
    that every zone keeps some of both.
*/
class stage_planner
{
public:
    explicit stage_planner(const stage_planner_settings& settings);

    /** The changes to order now; those under way count as done. */
    std::vector<stage_change>
    plan(const std::vector<std::shared_ptr<target_view>>& targets,
         time_point now);

private:
    std::size_t wanted_readers(std::size_t engines) const;
    bool is_due(std::size_t difference, bool lacks_a_stage, time_point now);

    stage_planner_settings settings_;
    bool has_settled_ = false;
    std::optional<time_point> agrees_since_;
    std::optional<time_point> differs_since_;
};

} // namespace hibiscusferry

#endif
