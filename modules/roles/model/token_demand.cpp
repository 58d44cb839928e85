#include "roles/model/token_demand.hpp"

namespace hibiscusferry
{

engine_demand to_engines(const token_demand& demand,
                         const engine_capacity& capacity)
{
    return {
        demand.prefill_tokens_per_second / capacity.prefill_tokens_per_second,
        demand.decode_tokens_per_second / capacity.decode_tokens_per_second};
}

} // namespace hibiscusferry
