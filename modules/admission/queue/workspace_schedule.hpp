#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_WORKSPACE_SCHEDULE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_WORKSPACE_SCHEDULE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** Orders the workspaces within one lane of a fair_queue: by virtual time, to
    select the workspace that is served next, and by backlog, to select the
    workspace from which requests are shed.

    Workspaces are identified by small indexes that the fair_queue assigns. All
    operations are O(log n) in the number of workspaces with waiting requests.
*/
class workspace_schedule
{
public:
    static constexpr std::size_t max_scanned_workspaces = 16;

    /** Adds a workspace, or resets the state of a reused index. */
    void reset(std::uint32_t workspace);

    /** Records that a request of `cost` was queued. If the workspace had no
        waiting request, its virtual time is raised to that of the schedule.
        @param weight  the workspace's share */
    void request_added(std::uint32_t workspace, double cost, double weight);

    /** Records that the workspace's first waiting request has changed.
        @param first_cost  its cost; 0 if no request is waiting */
    void first_changed(std::uint32_t workspace, double first_cost);

    /** Records that a request of `cost` is no longer waiting. Also call
        first_changed() if it was the first one. */
    void request_removed(std::uint32_t workspace, double cost);

    /** Charges the workspace for a request that is dequeued now. */
    void serve(std::uint32_t workspace, double cost, double weight);

    /** Corrects the workspace's charge; a negative cost is a refund. */
    void charge(std::uint32_t workspace, double cost, double weight);

    /** Updates both orders after a change of the workspace's weight. */
    void weight_changed(std::uint32_t workspace, double weight);

    /** Returns the waiting workspace with the smallest virtual time, or none
        if no workspace is waiting. */
    std::optional<std::uint32_t> least_served() const;

    /** Returns the waiting workspace with the smallest virtual time for which
        `accept` returns true. Only the first `max_scanned_workspaces`
        workspaces are examined. */
    template <class Predicate>
    std::optional<std::uint32_t> least_served_of(Predicate accept) const
    {
        std::size_t scanned = 0;
        for (auto next = by_virtual_time_.begin();
             next != by_virtual_time_.end() && scanned < max_scanned_workspaces;
             ++next)
        {
            if (accept(next->second))
                return next->second;
            ++scanned;
        }
        return std::nullopt;
    }

    /** Returns the virtual time to which a workspace is raised when it starts
        waiting. */
    double system_virtual_time() const;

    /** Returns the waiting workspace from which a request is shed: the one
        with the largest backlog behind its first request or, if no workspace
        has a backlog, the one with the largest virtual time. */
    std::optional<std::uint32_t> shed_candidate() const;

    double virtual_time(std::uint32_t workspace) const;
    double waiting_cost(std::uint32_t workspace) const;
    double first_cost(std::uint32_t workspace) const;

    /** Returns the cost of the waiting requests of all workspaces. */
    double waiting_cost() const;

    /** Returns the sum of the weights of all waiting workspaces. */
    double waiting_weight() const;

private:
    struct entry
    {
        double virtual_time = 0;
        double waiting_cost = 0;
        double first_cost = 0;
        double weight = 1;
        std::uint32_t requests = 0;
    };

    using workspace_order = std::set<std::pair<double, std::uint32_t>>;

    static double backlog(const entry& state);
    void add_to_order(std::uint32_t workspace);
    void remove_from_order(std::uint32_t workspace);

    std::vector<entry> entries_;
    workspace_order by_virtual_time_;
    workspace_order by_backlog_;
    /** The virtual time of the workspace served last, before its charge. */
    double last_served_virtual_time_ = 0;
    double waiting_cost_ = 0;
    double waiting_weight_ = 0;
};

} // namespace hibiscusferry

#endif
