#include "roles/policy/pool_capacity.hpp"

#include <algorithm>
#include <array>

namespace hibiscusferry
{

namespace
{

/** Utilisations up to which an engine still answers in time, weighted alike:
    a pool begins to be late some way below its full capacity. */
constexpr std::array<double, 3> usable_utilisations{0.8, 0.9, 1.0};

} // namespace

double served_part(const role_split& split, const engine_demand& demand,
                   double mixed_efficiency, double utilisation)
{
    const double shared = mixed_efficiency * split.mixed;
    const double total = demand.prefill + demand.decode;
    double part = 1.0;
    if (demand.prefill > 0)
        part = std::min(part, utilisation * (split.prefill + shared) /
                                  demand.prefill);
    if (demand.decode > 0)
        part = std::min(part,
                        utilisation * (split.decode + shared) / demand.decode);
    if (total > 0)
        part =
            std::min(part, utilisation *
                               (split.prefill + split.decode + shared) / total);
    return part;
}

double loss_rate(const role_split& split, const engine_demand& demand,
                 double mixed_efficiency)
{
    double lost = 0;
    for (const double utilisation : usable_utilisations)
        lost += 1.0 - served_part(split, demand, mixed_efficiency, utilisation);
    return lost / usable_utilisations.size() * (demand.prefill + demand.decode);
}

} // namespace hibiscusferry
