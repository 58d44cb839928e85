#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_DECODE_ENGINE_SELECTOR_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_DECODE_ENGINE_SELECTOR_HPP

#include "serving/estimation/engine_performance.hpp"
#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/generation_request.hpp"

namespace hibiscusferry
{

/** Selects the decode engine of a generation.

    Designed for hundreds of requests per second that generate a few tokens and
    occupy a slot for about fifty milliseconds, mixed with requests whose
    completions occupy a slot for seconds; for engines with eight to thirty-two
    slots; and for dozens of hosts whose view of the occupied slots is about a
    tenth of a second old.

    Long completions are packed: they fill the slots of some engines up to a
    maximum fraction, in an order that all hosts share. The other engines remain
    available to short completions, so that neither kind waits for the other.
    Short completions are assigned to the cheapest engine of a small sample
    drawn per request, so that hosts with the same load reports do not all
    select the same engine.

    Streams of a route with a gap objective are assigned to engines whose gaps
    between events are expected to stay within it, as long as one of these has a
    free slot. A quarter of the engines may run at half the usual speed, so that
    their first events are early and all others late.
*/
class decode_engine_selector
{
public:
    decode_engine_selector(const engine_estimates& estimates,
                           const engine_properties& engine);

    /** @param prefill_engine  the engine that has prefilled the prompt and
                               transfers its KV cache; null if the decode
                               engine prefills the prompt itself
        @returns a candidate without a target if no eligible engine has enough
                 memory */
    engine_candidate select(const target_list& targets,
                            const generation_request& request,
                            const target_view* prefill_engine,
                            time_point now) const;

private:
    /** Time from an attempt that fetches the KV cache of the prompt to the
        first event. */
    double fetch_ms(const prompt_info& prompt, bool is_same_zone) const;
    bool has_memory(const target_view& target,
                    const generation_request& request, time_point now) const;
    engine_candidate evaluate(const std::shared_ptr<target_view>& target,
                              const generation_request& request,
                              const target_view* prefill_engine,
                              time_point now) const;
    engine_candidate select_from_sample(const target_list& candidates,
                                        const generation_request& request,
                                        const target_view* prefill_engine,
                                        time_point now) const;
    engine_candidate select_first_with_capacity(
        const target_list& candidates, const generation_request& request,
        const target_view* prefill_engine, time_point now) const;

    engine_estimates estimates_;
    engine_properties engine_;
};

} // namespace hibiscusferry

#endif
