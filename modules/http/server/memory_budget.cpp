#include "http/server/memory_budget.hpp"

#include <utility>

namespace hibiscusferry
{

memory_budget::memory_budget(std::size_t capacity_bytes)
    : capacity_(capacity_bytes)
{
}

std::size_t memory_budget::capacity() const
{
    return capacity_;
}

std::size_t memory_budget::used() const
{
    return used_;
}

void memory_budget::set_reclaimer(reclaimer reclaim)
{
    reclaim_ = std::move(reclaim);
}

std::size_t memory_budget::limit(std::size_t bytes, memory_use use) const
{
    if (bytes <= small_bytes)
        return capacity_;
    return capacity_ / 8 * (use == memory_use::request ? 6 : 7);
}

memory_budget::reservation::reservation(std::shared_ptr<memory_budget> budget,
                                        memory_use use)
    : budget_(std::move(budget))
    , use_(use)
{
}

memory_budget::reservation::~reservation()
{
    force(0);
}

bool memory_budget::reservation::resize(std::size_t bytes)
{
    if (budget_ && bytes > bytes_)
    {
        const std::size_t added = bytes - bytes_;
        const std::size_t limit = budget_->limit(bytes, use_);
        const auto is_short = [&]
        {
            return budget_->used_ > limit || added > limit - budget_->used_;
        };
        while (is_short())
        {
            if (use_ == memory_use::request || !budget_->reclaim_ ||
                !budget_->reclaim_())
                return false;
        }
    }
    force(bytes);
    return true;
}

void memory_budget::reservation::force(std::size_t bytes)
{
    if (budget_)
        budget_->used_ = budget_->used_ - bytes_ + bytes;
    bytes_ = bytes;
}

std::size_t memory_budget::reservation::bytes() const
{
    return bytes_;
}

} // namespace hibiscusferry
