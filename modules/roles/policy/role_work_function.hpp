#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_WORK_FUNCTION_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_WORK_FUNCTION_HPP

#include "roles/model/role_split.hpp"
#include "roles/policy/pool_capacity.hpp"
#include <chrono>
#include <vector>

namespace hibiscusferry
{

/** The fixed parameters of a work function. */
struct work_function_settings
{
    /** What one role change costs, in engine-seconds. */
    double change_cost = 0;
    double mixed_efficiency = 0.75;
    int min_mixed_engines = 1;
};

bool operator==(const work_function_settings& left,
                const work_function_settings& right);

/** Rent-or-buy over all splits of a pool: the work function algorithm for
    metrical task systems (Borodin, Linial and Saks, 1992).

    It keeps, for each split, the least cost with which a plan made in
    hindsight could have served the demand so far and end in that split: the
    losses on the way plus its changes. The present split is left when its
    own value has risen to that of another split plus the changes to get
    there. That is when the regret of staying equals the cost of changing
    there and back: the other split's value began with the way there. With
    half the cost of a change given, the rule for two splits is the ski-rental
    rule of Karlin, Manasse, Rudolph and Sleator (1988; Karlin et al., 1994),
    which changes once the regret equals the cost of one change. A swing that
    turns back before lowers the regret again and no change is made.

    Large pools are held in blocks of engines so that the number of splits
    stays bounded.
*/
class role_work_function
{
public:
    /** Splits are counted in at most this many blocks of engines. */
    static constexpr int greatest_block_count = 28;

    /** Starts afresh in `present` when the pool or settings differ. */
    void prepare(const work_function_settings& settings,
                 const role_split& present);

    /** Charges every split for a demand that lasted for `duration`.
        @param loss_scale  what the loss_rate() is multiplied by */
    void charge(const engine_demand& demand, std::chrono::nanoseconds duration,
                double loss_scale = 1.0);

    /** The split to go to from `present`, or `present` itself. */
    role_split target(const role_split& present) const;

    /** The split to go to when the coming demand is known: the first step
        of the cheapest plan for it, starting from `present`.
        @param coming  the demand in each of the coming steps
        @param step  how long each lasts */
    role_split planned_target(const role_split& present,
                              const std::vector<engine_demand>& coming,
                              std::chrono::nanoseconds step) const;

    /** How much better another split's value is than that of `present`, as a
        part of the cost of the changes to get there, from 0 to 1; 1 when a
        change is due. */
    double regret(const role_split& present) const;

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
    int engines_ = 0;
    int block_ = 1;
    int blocks_ = 0;
    /** Blocks that may have another role than mixed. */
    int free_blocks_ = 0;
    std::vector<double> values_;
};

} // namespace hibiscusferry

#endif
