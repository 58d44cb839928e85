#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_WORK_FUNCTION_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_WORK_FUNCTION_HPP

#include "roles/model/role_split.hpp"
#include "roles/policy/pool_capacity.hpp"
#include <chrono>
#include <vector>

namespace hibiscusferry
{

/** The parameters of a work function. */
struct work_function_settings
{
    /** The cost of one role change, in engine-seconds. */
    double change_cost = 0;
    double mixed_efficiency = 0.75;
    int min_mixed_engines = 1;
};

bool operator==(const work_function_settings& left,
                const work_function_settings& right);

/** Rent-or-buy decisions over all splits of a pool, made with the work function
    algorithm for metrical task systems (Borodin, Linial and Saks, 1992).

    The work function stores a value for each split: the minimum cost, losses
    plus changes, of an offline plan that serves the demand so far and ends in
    that split. The current split is left when its value has risen to that of
    another split plus the cost of the changes to it. At this point the regret
    of staying equals the cost of changing there and back, because the initial
    value of the other split includes the cost of the changes to it.

    If it is given half the cost of a change, the rule for two splits becomes
    the ski-rental rule of Karlin, Manasse, Rudolph and Sleator (1988; Karlin et
    al., 1994), which changes once the regret equals the cost of one change. If
    the demand shifts back before that point, the regret falls again and no
    change is made.

    Large pools are divided into blocks of engines to bound the number of
    splits.
*/
class role_work_function
{
public:
    /** The maximum number of blocks into which a pool is divided. */
    static constexpr int max_block_count = 28;

    /** Restarts in `current` if the pool size or the settings have changed. */
    void prepare(const work_function_settings& settings,
                 const role_split& current);

    /** Adds to every split the loss for a demand that lasted for `duration`.
        @param loss_scale  the factor applied to loss_rate() */
    void charge(const engine_demand& demand, std::chrono::nanoseconds duration,
                double loss_scale = 1.0);

    /** The split to change to from `current`, or `current` itself. */
    role_split target(const role_split& current) const;

    /** The split to change to if the future demand is known: the first split of
        the plan with the lowest cost that starts from `current`.
        @param predicted_demand  the demand in each of the next steps
        @param step  the duration of a step */
    role_split plan_target(const role_split& current,
                           const std::vector<engine_demand>& predicted_demand,
                           std::chrono::nanoseconds step) const;

    /** The regret of staying in `current`: the largest difference between its
        value and that of another split, as a fraction of the cost of the
        changes to that split. It ranges from 0 to 1, and a change is due at
        1. */
    double regret(const role_split& current) const;

private:
    std::size_t index(int prefill, int decode) const;
    std::size_t index_of(const role_split& split) const;
    role_split split_at(int prefill, int decode) const;
    void relax(std::vector<double>& values) const;
    void add_losses(std::vector<double>& values, const engine_demand& demand,
                    double seconds) const;
    template <class Visitor>
    void for_each_split(Visitor visit) const;

    work_function_settings settings_;
    int engine_count_ = 0;
    int block_size_ = 1;
    int block_count_ = 0;
    /** The maximum number of blocks in a role other than mixed. */
    int max_specialised_blocks_ = 0;
    std::vector<double> values_;
};

} // namespace hibiscusferry

#endif
