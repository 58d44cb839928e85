#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_DECODE_ENGINE_SELECTOR_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_DECODE_ENGINE_SELECTOR_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/scheduling/engine_speeds.hpp"
#include "serving/scheduling/generation_request.hpp"

namespace hibiscusferry
{

/** Chooses the decode engine of a generation.

    Load it answers: prompts with a few tokens to make, hundreds a second, that
    hold a slot for some fifty milliseconds, and among them questions whose
    answers hold one for seconds; engines of eight to thirty-two slots, and
    dozens of hosts that know the slots taken as of a tenth of a second ago.

    Long answers are packed: they fill the slots of some engines up to a part,
    in an order that all hosts share, so that the short ones find others free
    of them and neither waits for the other. Short ones go to the best of a few
    engines that are drawn for each request, so that hosts with the same news
    do not all send to the same one.
*/
class decode_engine_selector
{
public:
    decode_engine_selector(const engine_speeds& speeds,
                           const engine_properties& engine);

    /** @param reader  the engine that has read the prompt and hands it over;
                       null if the decoder reads it
        @returns no target if none takes work and has the memory */
    engine_candidate best(const target_list& targets,
                          const generation_request& request,
                          const target_view* prefill_engine,
                          time_point now) const;

private:
    bool has_memory(const target_view& target,
                    const generation_request& request, time_point now) const;
    engine_candidate assess(const std::shared_ptr<target_view>& target,
                            const generation_request& request,
                            const target_view* prefill_engine,
                            time_point now) const;
    engine_candidate best_of_drawn(const target_list& candidates,
                                   const generation_request& request,
                                   const target_view* prefill_engine,
                                   time_point now) const;
    engine_candidate first_with_room(const target_list& candidates,
                                     const generation_request& request,
                                     const target_view* prefill_engine,
                                     time_point now) const;

    engine_speeds speeds_;
    engine_properties engine_;
};

} // namespace hibiscusferry

#endif
