#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_PREFILL_ENGINE_SELECTOR_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_PREFILL_ENGINE_SELECTOR_HPP

#include "serving/estimation/engine_performance.hpp"
#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/generation_request.hpp"

namespace hibiscusferry
{

/** Selects the prefill engine of a generation.

    Designed for hundreds of prompts per second, in bursts, that share two
    thirds of their tokens with other prompts. The shared prefixes come from
    many documents that together fit into the memory of all engines but not of
    one. Dozens of hosts each see a few of the prompts and have a view of the
    engines' load that is about a tenth of a second old.

    Rendezvous hashing assigns two owners to each shared prefix; the first is
    assumed to have it cached. The candidates are the owners and optionally
    further engines sampled per request, and the cheapest candidate is selected.
    Selecting the least loaded of all engines instead would make all hosts pick
    the same engine until they receive each other's load reports. An engine
    that lacks the shared prefix fetches it from the owner, or, if the owner
    has joined recently, from the previous owner.
*/
class prefill_engine_selector
{
public:
    prefill_engine_selector(const engine_estimates& estimates,
                            const engine_properties& engine);

    /** @returns a candidate without a target if no prefill engine is
                 eligible */
    engine_candidate select(const target_list& targets,
                            const generation_request& request,
                            time_point now) const;

private:
    /** @param source_engine  the engine assumed to have the shared prefix
                              cached; null if there is none */
    engine_candidate evaluate(const std::shared_ptr<target_view>& target,
                              const std::shared_ptr<target_view>& source_engine,
                              const generation_request& request,
                              time_point now) const;
    double prefix_fetch_ms(const target_view& target,
                           const target_view& source_engine,
                           double tokens) const;

    engine_estimates estimates_;
    engine_properties engine_;
};

} // namespace hibiscusferry

#endif
