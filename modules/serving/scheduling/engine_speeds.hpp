#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SPEEDS_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SPEEDS_HPP

namespace hibiscusferry
{

/** How fast the engines of a service are, and what a zone's border costs.
    Engines do not announce it; the defaults are those of the engines in use
    today. */
struct engine_speeds
{
    /** Prompt tokens that a prefill engine reads in a millisecond. */
    double prefill_tokens_per_ms = 350;
    /** A decode engine reads prompts at this part of that speed. */
    double decode_reading_part = 0.5;
    /** What each stream that runs adds before a new one starts. */
    double stream_step_ms = 0.15;
    /** How long a stream holds its slot for each token that it may make; an
        event stands for some fifty tokens of 0.75 ms. */
    double slot_ms_per_output_token = 40;
    /** Two further exchanges, and setting a transfer up. */
    double hand_over_ms = 3;
    /** Another zone's delay, and the price of its bytes as delay. */
    double other_zone_ms = 6;
};

} // namespace hibiscusferry

#endif
