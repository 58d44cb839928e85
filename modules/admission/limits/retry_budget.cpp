#include "admission/limits/retry_budget.hpp"

#include <algorithm>

namespace hibiscusferry
{

retry_budget::retry_budget(std::uint32_t percent)
    : earned_per_attempt_(percent / 100.0)
    , available_(percent > 0 ? burst : 0)
{
}

void retry_budget::configure(std::uint32_t percent)
{
    earned_per_attempt_ = percent / 100.0;
    if (percent == 0)
        available_ = 0;
}

void retry_budget::record_first_attempt()
{
    available_ = std::min(burst, available_ + earned_per_attempt_);
}

bool retry_budget::take_retry()
{
    if (available_ < 1)
        return false;
    available_ -= 1;
    return true;
}

double retry_budget::available() const
{
    return available_;
}

} // namespace hibiscusferry
