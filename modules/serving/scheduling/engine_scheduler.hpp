#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SCHEDULER_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SCHEDULER_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/decode_engine_selector.hpp"
#include "serving/scheduling/engine_speeds.hpp"
#include "serving/scheduling/generation_request.hpp"
#include "serving/scheduling/prefill_engine_selector.hpp"

namespace hibiscusferry
{

/** Where a generation goes. */
struct engine_assignment
{
    /** Reads the prompt and hands it over; null when `decoder` reads it. */
    std::shared_ptr<target_view> prefill_engine;
    std::shared_ptr<target_view> decode_engine;
    /** Expected time to the first event. */
    double expected_ms = 0;
    /** Parts of it, as their tokens say, before what was observed of the
        engines. */
    double prefill_baseline_ms = 0;
    double decode_baseline_ms = 0;
    /** Keeps shared parts of the prompt that the reader lacks. */
    std::shared_ptr<target_view> prefix_source;
    /** Tokens that have to be read. */
    double pending_prefill_tokens = 0;
};

/** Chooses the engines for a generation, or refuses it.

    Load it answers: long prompts with short answers and short prompts with
    long answers, in bursts that exceed what the engines can do. A prompt is
    read by a prefill engine and handed over, or by the decode engine itself,
    whichever is faster; long ones by a prefill engine if there is any. What
    could not be in time is refused before anything is sent.
*/
class engine_scheduler
{
public:
    explicit engine_scheduler(const engine_speeds& speeds);

    /** @returns the placement; without a decoder when there is no place, with
                 the reason, and the shortest expected time if it was busy */
    engine_assignment schedule(const target_list& targets,
                               const generation_request& request,
                               const engine_properties& engine, time_point now,
                               scheduling_failure& reason) const;

private:
    engine_assignment cheapest(const target_list& targets,
                               const generation_request& request,
                               const engine_properties& engine,
                               time_point now) const;

    engine_speeds speeds_;
};

} // namespace hibiscusferry

#endif
