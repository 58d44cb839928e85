#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_PANEL_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_PANEL_HPP

#include "foundation/foundation.hpp"
#include "roles/policy/role_expert.hpp"
#include <chrono>
#include <cstddef>
#include <vector>

namespace hibiscusferry
{

/** Follows the expert whose way of deciding has cost least of late.

    How long a shift must last before a change pays is learned and not set:
    where shifts last, impatient experts have the better record; where the
    mix swings back, patient ones. Experts are combined as in Blum and Burch
    (2000), in the deterministic form: another expert is followed only when
    its record is better by more than the changes that it takes to come to
    its split.
*/
class role_expert_panel
{
public:
    explicit role_expert_panel(bool use_forecast);

    void prepare(const expert_settings& settings, const role_split& present);

    /** See role_expert::advance. */
    void advance(const engine_demand& demand, std::chrono::nanoseconds elapsed,
                 double loss_scale, const std::vector<engine_demand>& coming,
                 std::chrono::nanoseconds step, bool may_change,
                 time_point now);

    /** The split to come to from `present`. */
    role_split target(const role_split& present);

    /** The expert that is followed. */
    const role_expert& followed() const;

private:
    std::vector<role_expert> experts_;
    std::size_t followed_;
    double change_cost_ = 0;
};

} // namespace hibiscusferry

#endif
