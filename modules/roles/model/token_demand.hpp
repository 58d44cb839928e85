#ifndef HIBISCUSFERRY_ROLES_MODEL_TOKEN_DEMAND_HPP
#define HIBISCUSFERRY_ROLES_MODEL_TOKEN_DEMAND_HPP

namespace hibiscusferry
{

/** The token rates that the requests for a model require, including refused
    requests. */
struct token_demand
{
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0;
};

/** The token rates that one engine of a model's pool sustains within the
    latency objectives. */
struct engine_capacity
{
    /** The rate of an engine in the prefill role. */
    double prefill_tokens_per_second = 20000;
    /** The rate of an engine in the decode role, summed over its streams. */
    double decode_tokens_per_second = 800;
    /** The fraction of either rate that a mixed engine reaches. It is below
        one because prefill and decode slow each other down on one engine. */
    double mixed_efficiency = 0.75;
};

/** A token demand expressed as the number of fully utilised engines of each
    role that it requires. */
struct engine_demand
{
    double prefill = 0;
    double decode = 0;
};

/** Converts token rates to the number of engines that serve them. */
engine_demand to_engines(const token_demand& demand,
                         const engine_capacity& capacity);

} // namespace hibiscusferry

#endif
