#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SPEEDS_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_ENGINE_SPEEDS_HPP

namespace hibiscusferry
{

/** Speed parameters of the engines of a service and the penalty for crossing
    an availability zone. Engines do not report these values; the defaults
    describe the deployed engines. */
struct engine_speeds
{
    /** Prompt tokens that a prefill engine computes per millisecond. */
    double prefill_tokens_per_ms = 350;
    /** Prefill speed of a decode engine as a fraction of that of a prefill
        engine. */
    double decode_prefill_fraction = 0.5;
    /** Delay that each running stream adds to the start of a new one. */
    double step_ms_per_stream = 0.15;
    /** Time that a stream occupies its slot per requested output token; an
        event carries about fifty tokens of 0.75 ms each. */
    double slot_ms_per_output_token = 40;
    /** Time to set up a KV transfer, including two additional exchanges. */
    double kv_transfer_setup_ms = 3;
    /** Latency to another availability zone plus the price of cross-zone
        traffic, expressed as time. */
    double cross_zone_penalty_ms = 6;
};

} // namespace hibiscusferry

#endif
