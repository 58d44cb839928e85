#include "gateway/request/response_memory.hpp"

namespace hibiscusferry
{

void response_memory::set_budget(std::shared_ptr<memory_budget> budget)
{
    budget_ = std::move(budget);
}

response_memory::reservation::reservation(
    std::shared_ptr<response_memory> memory)
    : memory_(std::move(memory))
    , budgeted_(memory_->budget_, memory_use::response)
{
}

response_memory::reservation::~reservation()
{
    memory_->pooled_bytes_ -= pooled_bytes_;
}

bool response_memory::reservation::resize(std::size_t bytes,
                                          std::size_t pool_bytes)
{
    const std::size_t needed = bytes > share_bytes ? bytes - share_bytes : 0;
    const std::size_t total = memory_->pooled_bytes_ - pooled_bytes_ + needed;
    const std::size_t free = total < pool_bytes ? pool_bytes - total : 0;
    if (needed > pooled_bytes_ && needed > free)
        return false;
    if (needed == 0)
        budgeted_.force(bytes);
    else if (!budgeted_.resize(bytes))
        return false;
    memory_->pooled_bytes_ = total;
    pooled_bytes_ = needed;
    return true;
}

} // namespace hibiscusferry
