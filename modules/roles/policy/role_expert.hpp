#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_EXPERT_HPP

#include "foundation/foundation.hpp"
#include "roles/policy/role_work_function.hpp"
#include <chrono>
#include <optional>
#include <vector>

namespace hibiscusferry
{

/** What all experts of a pool are given. */
struct expert_settings
{
    work_function_settings work;
    /** How long a change takes by the document; its price covers it. */
    std::chrono::nanoseconds change_duration{0};
    /** How long engines really were away, with the time to drain. */
    std::chrono::nanoseconds away_duration{0};
    /** How far the demand that decisions see is behind the real one. */
    std::chrono::nanoseconds lag{0};
    /** Engines that may be away at once. */
    int max_unavailable = 1;
};

/** One way to decide, followed on paper only: what it would have changed
    and what that would have cost.

    An expert is a work function whose cost of a change is the document's
    times `patience`: an impatient one follows a shift at once, a patient one
    waits until the shift has cost a multiple of a change. Its record is the
    loss of its own split, with engines away during its changes, and the
    document's price of the changes, decaying over time.
*/
class role_expert
{
public:
    /** @param patience  the factor on the cost of a change
        @param uses_forecast  whether it plans ahead while a pattern is
                              trusted */
    role_expert(double patience, bool uses_forecast);

    /** Starts from `present` when the pool or the settings differ; the
        record is kept. */
    void prepare(const expert_settings& settings, const role_split& present);

    /** Lives through a demand that lasted for `elapsed`, then decides.
        @param loss_scale  what the loss_rate() is multiplied by, as refusals
                           show less of a loss
        @param coming  the foretold demand in steps of `step`, or empty */
    void advance(const engine_demand& demand, std::chrono::nanoseconds elapsed,
                 double loss_scale, const std::vector<engine_demand>& coming,
                 std::chrono::nanoseconds step, bool may_change,
                 time_point now);

    /** The split that it has come to. */
    const role_split& split() const;

    /** Its record, in engine-seconds; less is better. */
    double record() const;

    /** See role_work_function::regret. */
    double regret(const role_split& present) const;

    bool uses_forecast() const;

private:
    struct paper_change
    {
        engine_role from;
        engine_role to;
        time_point begins_at;
        time_point ends_at;
    };

    role_split serving(time_point now) const;

    double patience_;
    bool uses_forecast_;
    std::optional<expert_settings> settings_;
    role_work_function work_;
    role_split split_;
    /** Changes on paper. Against the lagging demand they begin late. */
    std::vector<paper_change> away_;
    double record_ = 0;
};

} // namespace hibiscusferry

#endif
