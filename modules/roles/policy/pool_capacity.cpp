#include "roles/policy/pool_capacity.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** One assumption of how much of the engines' time can be used before
    answers are late. */
struct usable_time
{
    /** Prefill engines keep this many times the square root of their number
        idle (square-root staffing, Halfin and Whitt, 1981). */
    double prefill_reserve;
    /** A decode engine's many streams even out by themselves. */
    double decode_part;
};

constexpr double least_prefill_part = 0.3;

/** Weighted alike: lateness sets in gradually. */
constexpr std::array<usable_time, 3> usable_times{
    {{0.7, 0.88}, {0.4, 0.94}, {0.1, 1.0}}};

double loss_at(const role_split& split, const engine_demand& demand,
               double mixed_efficiency, const usable_time& usable)
{
    const double shared = mixed_efficiency * split.mixed;
    const double total = demand.prefill + demand.decode;
    const double prefill_engines = split.prefill + shared;
    const double prefill_part =
        std::max(least_prefill_part,
                 1.0 - usable.prefill_reserve /
                           std::sqrt(std::max(1.0, prefill_engines)));
    const double prefill_short =
        demand.prefill - prefill_part * prefill_engines;
    const double decode_short =
        demand.decode - usable.decode_part * (split.decode + shared);
    // Both kinds fit by themselves, but not into the mixed engines together.
    const double needed =
        demand.prefill / prefill_part + demand.decode / usable.decode_part;
    const double both_short = needed - (split.prefill + split.decode + shared);

    double lost = std::max(0.0, prefill_short);
    if (decode_short > 0)
        lost = std::max(lost, decode_short * total / demand.decode);
    if (both_short > 0)
        lost = std::max(lost, both_short * total / needed);
    return lost;
}

} // namespace

double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency)
{
    double lost = 0;
    for (const usable_time& usable : usable_times)
        lost += loss_at(split, demand, mixed_efficiency, usable);
    return lost / usable_times.size();
}

} // namespace hibiscusferry
