#include "stand_ins/engine/order_book.hpp"

#include <algorithm>

namespace hibiscusferry::stand_ins
{

order_book::order_book(bool checks_fencing)
    : checks_fencing_(checks_fencing)
{
}

order_verdict order_book::receive(const engine_order& order)
{
    const order_verdict verdict = evaluate(order);
    arrivals_.push_back({order, verdict});
    if (verdict == order_verdict::accepted)
    {
        running_order_ = order.order_id;
        states_[order.order_id] = "running";
    }
    return verdict;
}

order_verdict order_book::evaluate(const engine_order& order)
{
    const bool is_stale = order.fencing_number < max_fencing_number_;
    if (is_stale && checks_fencing_)
        return order_verdict::stale_fencing_number;
    max_fencing_number_ = std::max(max_fencing_number_, order.fencing_number);

    if (states_.count(order.order_id) > 0)
        return order_verdict::repeated;
    if (!running_order_.empty())
    {
        ++conflicting_orders_;
        return order_verdict::other_order_running;
    }
    if (is_stale)
    {
        ++accepted_stale_orders_;
        ++conflicting_orders_;
    }
    return order_verdict::accepted;
}

void order_book::finish_running(bool succeeded)
{
    states_[running_order_] = succeeded ? "done" : "failed";
    running_order_.clear();
}

std::string order_book::state_of(const std::string& order_id) const
{
    const auto entry = states_.find(order_id);
    return entry == states_.end() ? "" : entry->second;
}

std::uint64_t order_book::raise_fence(std::uint64_t fencing_number)
{
    max_fencing_number_ = std::max(max_fencing_number_, fencing_number);
    return max_fencing_number_;
}

const std::vector<order_arrival>& order_book::arrivals() const
{
    return arrivals_;
}

std::uint64_t order_book::conflicting_orders() const
{
    return conflicting_orders_;
}

std::uint64_t order_book::accepted_stale_orders() const
{
    return accepted_stale_orders_;
}

const char* to_text(order_verdict verdict)
{
    switch (verdict)
    {
    case order_verdict::accepted:
        return "accepted";
    case order_verdict::repeated:
        return "repeated";
    case order_verdict::stale_fencing_number:
        return "old_fencing_number";
    case order_verdict::other_order_running:
        return "other_order_running";
    }
    return "";
}

} // namespace hibiscusferry::stand_ins
