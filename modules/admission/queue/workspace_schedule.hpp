#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_WORKSPACE_SCHEDULE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_WORKSPACE_SCHEDULE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** The order of the workspaces within one priority of a fair_queue: by served
    tokens, for whose turn it is, and by waiting cost, for who is shed first.

    Workspaces are small indexes that the fair_queue gives out. All operations
    are O(log n) in the workspaces that have requests waiting.
*/
class workspace_schedule
{
public:
    static constexpr std::size_t greatest_scan = 16;

    /** Adds a workspace or starts an index afresh. */
    void reset(std::uint32_t workspace);

    /** A request of `cost` begins to wait; the workspace is lifted if it had
        none. @param weight  the workspace's share */
    void request_added(std::uint32_t workspace, double cost, double weight);

    /** The workspace's first waiting request changed.
        @param first_cost  its cost; 0 when none is left */
    void first_changed(std::uint32_t workspace, double first_cost);

    /** A request of `cost` no longer waits. Call first_changed() too if it
        was the first. */
    void request_removed(std::uint32_t workspace, double cost);

    /** Charges the service of a request that is taken now. */
    void serve(std::uint32_t workspace, double cost, double weight);

    /** Corrects the charged service; negative to give back. */
    void charge(std::uint32_t workspace, double cost, double weight);

    /** Renews the orders after a change of weight. */
    void weight_changed(std::uint32_t workspace, double weight);

    /** The waiting workspace that was served least; none when none waits. */
    std::optional<std::uint32_t> least_served() const;

    /** The waiting workspace that was served least among those that `accept`
        takes; only the first `greatest_scan` are asked. */
    template <class Predicate>
    std::optional<std::uint32_t> least_served_of(Predicate accept) const
    {
        std::size_t asked = 0;
        for (auto next = by_counter_.begin();
             next != by_counter_.end() && asked < greatest_scan; ++next)
        {
            if (accept(next->second))
                return next->second;
            ++asked;
        }
        return std::nullopt;
    }

    /** The counter that a workspace who begins to wait now is lifted to. */
    double virtual_time() const;

    /** The waiting workspace to shed from: the one with most cost behind its
        first request, or if none has any the one that was served most. */
    std::optional<std::uint32_t> heaviest() const;

    double counter(std::uint32_t workspace) const;
    double waiting_cost(std::uint32_t workspace) const;
    double first_cost(std::uint32_t workspace) const;

    /** The cost that waits, of all workspaces. */
    double waiting_cost() const;

    /** The weights of all workspaces that have requests waiting. */
    double waiting_weight() const;

private:
    struct entry
    {
        double counter = 0;
        double waiting_cost = 0;
        double first_cost = 0;
        double weight = 1;
        std::uint32_t requests = 0;
    };

    using workspace_order = std::set<std::pair<double, std::uint32_t>>;

    static double excess(const entry& state);
    void order(std::uint32_t workspace);
    void remove_from_order(std::uint32_t workspace);

    std::vector<entry> entries_;
    workspace_order by_counter_;
    workspace_order by_excess_;
    /** The counter of the workspace served last, before it was charged. */
    double floor_ = 0;
    double waiting_cost_ = 0;
    double waiting_weight_ = 0;
};

} // namespace hibiscusferry

#endif
