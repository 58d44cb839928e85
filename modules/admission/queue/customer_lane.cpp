#include "admission/queue/customer_lane.hpp"

#include <algorithm>
#include <cassert>

namespace hibiscusferry
{

void customer_lane::reset(std::uint32_t customer)
{
    if (customer >= entries_.size())
        entries_.resize(customer + 1);
    assert(entries_[customer].requests == 0);
    entries_[customer] = entry{};
}

void customer_lane::request_added(std::uint32_t customer, double cost,
                                  double weight)
{
    entry& state = entries_[customer];
    if (state.requests == 0)
    {
        state.counter = std::max(state.counter, virtual_time());
        state.weight = weight;
        waiting_weight_ += weight;
    }
    else
    {
        remove_from_order(customer);
    }
    ++state.requests;
    state.waiting_cost += cost;
    waiting_cost_ += cost;
    order(customer);
}

void customer_lane::first_changed(std::uint32_t customer, double first_cost)
{
    entry& state = entries_[customer];
    if (state.requests == 0)
    {
        state.first_cost = 0;
        return;
    }
    remove_from_order(customer);
    state.first_cost = first_cost;
    order(customer);
}

void customer_lane::request_removed(std::uint32_t customer, double cost)
{
    entry& state = entries_[customer];
    assert(state.requests > 0);
    remove_from_order(customer);
    --state.requests;
    state.waiting_cost -= cost;
    waiting_cost_ -= cost;
    if (state.requests > 0)
    {
        order(customer);
        return;
    }
    state.waiting_cost = 0;
    state.first_cost = 0;
    waiting_weight_ -= state.weight;
    if (by_counter_.empty())
    {
        // Without this, rounding errors would add up for ever.
        waiting_cost_ = 0;
        waiting_weight_ = 0;
    }
}

void customer_lane::serve(std::uint32_t customer, double cost, double weight)
{
    floor_ = std::max(floor_, entries_[customer].counter);
    charge(customer, cost, weight);
}

void customer_lane::charge(std::uint32_t customer, double cost, double weight)
{
    entry& state = entries_[customer];
    if (state.requests > 0)
        remove_from_order(customer);
    state.counter += cost / weight;
    if (state.requests > 0)
        order(customer);
}

void customer_lane::weight_changed(std::uint32_t customer, double weight)
{
    entry& state = entries_[customer];
    if (state.requests == 0)
        return;
    remove_from_order(customer);
    waiting_weight_ += weight - state.weight;
    state.weight = weight;
    order(customer);
}

std::optional<std::uint32_t> customer_lane::least_served() const
{
    if (by_counter_.empty())
        return std::nullopt;
    return by_counter_.begin()->second;
}

double customer_lane::virtual_time() const
{
    return by_counter_.empty() ? floor_ : by_counter_.begin()->first;
}

std::optional<std::uint32_t> customer_lane::heaviest() const
{
    if (by_excess_.empty())
        return std::nullopt;
    if (by_excess_.rbegin()->first > 0)
        return by_excess_.rbegin()->second;
    return by_counter_.rbegin()->second;
}

double customer_lane::counter(std::uint32_t customer) const
{
    return entries_[customer].counter;
}

double customer_lane::waiting_cost(std::uint32_t customer) const
{
    return entries_[customer].waiting_cost;
}

double customer_lane::first_cost(std::uint32_t customer) const
{
    return entries_[customer].first_cost;
}

double customer_lane::waiting_cost() const
{
    return waiting_cost_;
}

double customer_lane::waiting_weight() const
{
    return waiting_weight_;
}

double customer_lane::excess(const entry& state)
{
    if (state.requests < 2)
        return 0;
    return std::max(0.0, state.waiting_cost - state.first_cost) / state.weight;
}

void customer_lane::order(std::uint32_t customer)
{
    const entry& state = entries_[customer];
    by_counter_.emplace(state.counter, customer);
    by_excess_.emplace(excess(state), customer);
}

void customer_lane::remove_from_order(std::uint32_t customer)
{
    const entry& state = entries_[customer];
    by_counter_.erase({state.counter, customer});
    by_excess_.erase({excess(state), customer});
}

} // namespace hibiscusferry
