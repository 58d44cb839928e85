#ifndef HIBISCUSFERRY_ROLES_MODEL_TOKEN_DEMAND_HPP
#define HIBISCUSFERRY_ROLES_MODEL_TOKEN_DEMAND_HPP

namespace hibiscusferry
{

/** The token rates that a model's requests ask for, served or not. */
struct token_demand
{
    double prefill_tokens_per_second = 0;
    double decode_tokens_per_second = 0;
};

/** What one engine of a model's pool can do within the promised times. */
struct engine_capacity
{
    /** Of an engine with the prefill role. */
    double prefill_tokens_per_second = 20000;
    /** Of an engine with the decode role, over all of its streams. */
    double decode_tokens_per_second = 800;
    /** What a mixed engine does of either, as a fraction: its prompts and
        its streams slow each other down. */
    double mixed_efficiency = 0.75;
};

/** A demand in engines: how many engines of the fitting role would be
    wholly busy with it. */
struct engine_demand
{
    double prefill = 0;
    double decode = 0;
};

/** Turns token rates into engines. */
engine_demand to_engines(const token_demand& demand,
                         const engine_capacity& capacity);

} // namespace hibiscusferry

#endif
