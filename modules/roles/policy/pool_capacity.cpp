#include "roles/policy/pool_capacity.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** An assumption about the engine utilisation above which responses miss their
    latency objective. */
struct utilisation_limit
{
    /** The idle capacity of n prefill engines, as a multiple of the square
        root of n (square-root staffing, Halfin and Whitt, 1981). */
    double prefill_headroom;
    /** The usable fraction of decode capacity. It does not depend on the
        number of engines because the many streams of one engine average
        out. */
    double max_decode_utilisation;
};

constexpr double min_prefill_utilisation = 0.3;

/** Averaged with equal weight, because the fraction of responses that miss
    their latency objective grows gradually with utilisation. */
constexpr std::array<utilisation_limit, 3> utilisation_limits{
    {{0.7, 0.88}, {0.4, 0.94}, {0.1, 1.0}}};

double loss_under_limit(const role_split& split, const engine_demand& demand,
                        double mixed_efficiency, const utilisation_limit& limit)
{
    const double mixed_capacity = mixed_efficiency * split.mixed;
    const double total = demand.prefill + demand.decode;
    const double prefill_engines = split.prefill + mixed_capacity;
    const double max_prefill_utilisation =
        std::max(min_prefill_utilisation,
                 1.0 - limit.prefill_headroom /
                           std::sqrt(std::max(1.0, prefill_engines)));
    const double prefill_shortfall =
        demand.prefill - max_prefill_utilisation * prefill_engines;
    const double decode_shortfall =
        demand.decode -
        limit.max_decode_utilisation * (split.decode + mixed_capacity);
    // Prefill and decode may each fit on their own and still exceed the
    // capacity of the mixed engines together.
    const double required_engines =
        demand.prefill / max_prefill_utilisation +
        demand.decode / limit.max_decode_utilisation;
    const double combined_shortfall =
        required_engines - (split.prefill + split.decode + mixed_capacity);

    double loss = std::max(0.0, prefill_shortfall);
    if (decode_shortfall > 0)
        loss = std::max(loss, decode_shortfall * total / demand.decode);
    if (combined_shortfall > 0)
        loss = std::max(loss, combined_shortfall * total / required_engines);
    return loss;
}

} // namespace

double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency)
{
    double loss = 0;
    for (const utilisation_limit& limit : utilisation_limits)
        loss += loss_under_limit(split, demand, mixed_efficiency, limit);
    return loss / utilisation_limits.size();
}

} // namespace hibiscusferry
