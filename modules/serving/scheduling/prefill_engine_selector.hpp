#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_PREFILL_ENGINE_SELECTOR_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_PREFILL_ENGINE_SELECTOR_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/engine_speeds.hpp"
#include "serving/scheduling/generation_request.hpp"

namespace hibiscusferry
{

/** Chooses the prefill engine that reads a prompt.

    Load it answers: prompts of which two thirds are shared with others, from
    many documents that together fit into the memory of all engines but not of
    one, hundreds a second and in bursts; dozens of hosts that each see a few
    of them, and know the engines' load as it was a tenth of a second ago.

    The chain of shared parts has a home by rendezvous hashing, which counts as
    keeping it, and a second one; two more engines are drawn for each request.
    The best of these four is taken. If each host took the engine that is the
    least loaded of all, all would take the same one until they hear of each
    other. One that lacks the shared parts fetches them from the home, or, if
    that has joined lately, from the engine that was the home before.
*/
class prefill_engine_selector
{
public:
    prefill_engine_selector(const engine_speeds& speeds,
                            const engine_properties& engine);

    /** @returns no target if no prefill engine takes work */
    engine_candidate best(const target_list& targets,
                          const generation_request& request,
                          time_point now) const;

private:
    /** @param keeper  the engine that is taken to keep the shared parts; null
                       if none is */
    engine_candidate assess(const std::shared_ptr<target_view>& target,
                            const std::shared_ptr<target_view>& source_engine,
                            const generation_request& request,
                            time_point now) const;
    double fetching_ms(const target_view& target,
                       const target_view& source_engine, double tokens) const;

    engine_speeds speeds_;
    engine_properties engine_;
};

} // namespace hibiscusferry

#endif
