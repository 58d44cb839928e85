#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SCHEDULER_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SCHEDULER_HPP

#include "serving/estimation/engine_performance.hpp"
#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/decode_engine_selector.hpp"
#include "serving/scheduling/generation_request.hpp"
#include "serving/scheduling/prefill_engine_selector.hpp"

namespace hibiscusferry
{

/** The engines assigned to a generation. */
struct engine_assignment
{
    /** Prefills the prompt and transfers its KV cache; null if the decode
        engine prefills the prompt itself. */
    std::shared_ptr<target_view> prefill_engine;
    std::shared_ptr<target_view> decode_engine;
    /** Expected time to the first event of the response. */
    double expected_ms = 0;
    /** Times of the two stages estimated from token counts alone, without the
        delays observed for the engines. */
    double prefill_baseline_ms = 0;
    double decode_baseline_ms = 0;
    /** The engine from which the prefill engine fetches the prefix blocks that
        it lacks; null if it fetches none. */
    std::shared_ptr<target_view> prefix_source;
    /** Tokens that remain to be prefilled. */
    double pending_prefill_tokens = 0;
    /** Tokens of other requests that the engine prefills before them. */
    double queued_prefill_tokens = 0;
    /** Time to fetch prefix blocks from `prefix_source`. */
    double prefix_fetch_ms = 0;
    /** The expected slowness of the engine that prefills the prompt. */
    double prefill_slowness = 1;
};

/** Adds an assumption about the speed of the engines if it is not known: the
    latency objective was set for these engines, so a prompt of the route whose
    prefix is cached takes a fraction of it. So does a prompt of the mean size
   of those in flight, if that is larger. */
engine_estimates with_assumed_speed(const engine_estimates& estimates,
                                    const generation_request& request,
                                    const target_list& targets);

/** Assigns engines to a generation, or refuses it.

    Designed for long prompts with short completions and short prompts with long
    completions, in bursts that exceed the capacity of the engines. A prompt is
    prefilled either by a prefill engine, followed by a KV transfer, or by the
    decode engine itself, whichever is cheaper. Long prompts always use a
    prefill engine if one is available. A request that is expected to miss its
    latency objective is refused before any attempt.
*/
class engine_scheduler
{
public:
    explicit engine_scheduler(const engine_estimates& estimates);

    /** @param reason  receives the reason if the request is refused
        @returns the assignment; without a decode engine if the request is
                 refused, and then with the expected time if the engines are
                 busy */
    engine_assignment schedule(const target_list& targets,
                               const generation_request& request,
                               const engine_properties& engine, time_point now,
                               scheduling_failure& reason) const;

private:
    engine_assignment find_cheapest(const target_list& targets,
                                    const generation_request& request,
                                    const engine_properties& engine,
                                    time_point now) const;
    /** Expected time to the first event if the engines were idle. */
    double processing_ms(const engine_assignment& assignment,
                         const generation_request& request) const;
    /** Time for which a decode engine computes the prompt itself, and its
        streams wait. */
    double direct_compute_ms(const engine_candidate& candidate) const;

    engine_estimates estimates_;
};

} // namespace hibiscusferry

#endif
