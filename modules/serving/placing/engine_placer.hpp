#ifndef HIBISCUSFERRY_SERVING_PLACING_ENGINE_PLACER_HPP
#define HIBISCUSFERRY_SERVING_PLACING_ENGINE_PLACER_HPP

#include "serving/model/fleet_configuration.hpp"
#include "serving/placing/decoder_choice.hpp"
#include "serving/placing/engine_request.hpp"
#include "serving/placing/engine_speeds.hpp"
#include "serving/placing/reader_choice.hpp"

namespace hibiscusferry
{

/** Where a generation goes. */
struct engine_placement
{
    /** Reads the prompt and hands it over; null when `decoder` reads it. */
    std::shared_ptr<target_view> reader;
    std::shared_ptr<target_view> decoder;
    /** Expected time to the first event. */
    double expected_ms = 0;
    /** Parts of it, as their tokens say, before what was observed of the
        engines. */
    double reader_plain_ms = 0;
    double decoder_plain_ms = 0;
    /** Keeps shared parts of the prompt that the reader lacks. */
    std::shared_ptr<target_view> reader_fetches_from;
    /** Tokens that have to be read. */
    double unread_tokens = 0;
};

/** Chooses the engines for a generation, or refuses it.

    Load it answers: long prompts with short answers and short prompts with
    long answers, in bursts that exceed what the engines can do. A prompt is
    read by a prefill engine and handed over, or by the decode engine itself,
    whichever is faster; long ones by a prefill engine if there is any. What
    could not be in time is refused before anything is sent.
*/
class engine_placer
{
public:
    explicit engine_placer(const engine_speeds& speeds);

    /** @returns the placement; without a decoder when there is no place, with
                 the reason, and the shortest expected time if it was busy */
    engine_placement place(const target_list& targets,
                           const engine_request& request,
                           const engine_properties& engine, time_point now,
                           no_place& reason) const;

private:
    engine_placement cheapest(const target_list& targets,
                              const engine_request& request,
                              const engine_properties& engine,
                              time_point now) const;

    engine_speeds speeds_;
};

} // namespace hibiscusferry

#endif
