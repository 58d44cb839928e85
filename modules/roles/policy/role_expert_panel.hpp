#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_PANEL_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_PANEL_HPP

#include "foundation/foundation.hpp"
#include "roles/policy/role_expert.hpp"
#include <chrono>
#include <cstddef>
#include <vector>

namespace hibiscusferry
{

/** Selects the expert with the lowest accumulated cost over the recent past.

    The time for which a shift must last before a change is worthwhile is
    learned rather than configured. If shifts last, experts with a small cost
    factor accumulate less cost; if the mix soon shifts back, those with a
    large factor do. The experts are combined as in Blum and Burch (2000), in
    the deterministic form: another expert is selected only if its accumulated
    cost is lower by more than the cost of the changes to its split.
*/
class role_expert_panel
{
public:
    explicit role_expert_panel(bool use_forecast);

    void prepare(const expert_settings& settings, const role_split& current);

    /** See role_expert::advance. */
    void advance(const engine_demand& demand, std::chrono::nanoseconds elapsed,
                 double loss_scale,
                 const std::vector<engine_demand>& predicted_demand,
                 std::chrono::nanoseconds step, bool may_change,
                 time_point now);

    /** Selects an expert and returns its split, the one to change to from
        `current`. */
    role_split target(const role_split& current);

    /** The currently selected expert. */
    const role_expert& selected() const;

private:
    std::vector<role_expert> experts_;
    std::size_t selected_;
    double change_cost_ = 0;
};

} // namespace hibiscusferry

#endif
