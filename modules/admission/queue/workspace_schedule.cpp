#include "admission/queue/workspace_schedule.hpp"

#include <algorithm>
#include <cassert>

namespace hibiscusferry
{

void workspace_schedule::reset(std::uint32_t workspace)
{
    if (workspace >= entries_.size())
        entries_.resize(workspace + 1);
    assert(entries_[workspace].requests == 0);
    entries_[workspace] = entry{};
}

void workspace_schedule::request_added(std::uint32_t workspace, double cost,
                                       double weight)
{
    entry& state = entries_[workspace];
    if (state.requests == 0)
    {
        state.virtual_time =
            std::max(state.virtual_time, system_virtual_time());
        state.weight = weight;
        waiting_weight_ += weight;
    }
    else
    {
        remove_from_order(workspace);
    }
    ++state.requests;
    state.waiting_cost += cost;
    waiting_cost_ += cost;
    add_to_order(workspace);
}

void workspace_schedule::first_changed(std::uint32_t workspace,
                                       double first_cost)
{
    entry& state = entries_[workspace];
    if (state.requests == 0)
    {
        state.first_cost = 0;
        return;
    }
    remove_from_order(workspace);
    state.first_cost = first_cost;
    add_to_order(workspace);
}

void workspace_schedule::request_removed(std::uint32_t workspace, double cost)
{
    entry& state = entries_[workspace];
    assert(state.requests > 0);
    remove_from_order(workspace);
    --state.requests;
    state.waiting_cost -= cost;
    waiting_cost_ -= cost;
    if (state.requests > 0)
    {
        add_to_order(workspace);
        return;
    }
    state.waiting_cost = 0;
    state.first_cost = 0;
    waiting_weight_ -= state.weight;
    if (by_virtual_time_.empty())
    {
        // Prevents rounding errors from accumulating.
        waiting_cost_ = 0;
        waiting_weight_ = 0;
    }
}

void workspace_schedule::serve(std::uint32_t workspace, double cost,
                               double weight)
{
    last_served_virtual_time_ =
        std::max(last_served_virtual_time_, entries_[workspace].virtual_time);
    charge(workspace, cost, weight);
}

void workspace_schedule::charge(std::uint32_t workspace, double cost,
                                double weight)
{
    entry& state = entries_[workspace];
    if (state.requests > 0)
        remove_from_order(workspace);
    state.virtual_time += cost / weight;
    if (state.requests > 0)
        add_to_order(workspace);
}

void workspace_schedule::weight_changed(std::uint32_t workspace, double weight)
{
    entry& state = entries_[workspace];
    if (state.requests == 0)
        return;
    remove_from_order(workspace);
    waiting_weight_ += weight - state.weight;
    state.weight = weight;
    add_to_order(workspace);
}

std::optional<std::uint32_t> workspace_schedule::least_served() const
{
    if (by_virtual_time_.empty())
        return std::nullopt;
    return by_virtual_time_.begin()->second;
}

double workspace_schedule::system_virtual_time() const
{
    return by_virtual_time_.empty() ? last_served_virtual_time_
                                    : by_virtual_time_.begin()->first;
}

std::optional<std::uint32_t> workspace_schedule::shed_candidate() const
{
    if (by_backlog_.empty())
        return std::nullopt;
    if (by_backlog_.rbegin()->first > 0)
        return by_backlog_.rbegin()->second;
    return by_virtual_time_.rbegin()->second;
}

double workspace_schedule::virtual_time(std::uint32_t workspace) const
{
    return entries_[workspace].virtual_time;
}

double workspace_schedule::waiting_cost(std::uint32_t workspace) const
{
    return entries_[workspace].waiting_cost;
}

double workspace_schedule::first_cost(std::uint32_t workspace) const
{
    return entries_[workspace].first_cost;
}

double workspace_schedule::waiting_cost() const
{
    return waiting_cost_;
}

double workspace_schedule::waiting_weight() const
{
    return waiting_weight_;
}

double workspace_schedule::backlog(const entry& state)
{
    if (state.requests < 2)
        return 0;
    return std::max(0.0, state.waiting_cost - state.first_cost) / state.weight;
}

void workspace_schedule::add_to_order(std::uint32_t workspace)
{
    const entry& state = entries_[workspace];
    by_virtual_time_.emplace(state.virtual_time, workspace);
    by_backlog_.emplace(backlog(state), workspace);
}

void workspace_schedule::remove_from_order(std::uint32_t workspace)
{
    const entry& state = entries_[workspace];
    by_virtual_time_.erase({state.virtual_time, workspace});
    by_backlog_.erase({backlog(state), workspace});
}

} // namespace hibiscusferry
