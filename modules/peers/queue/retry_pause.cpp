#include "peers/queue/retry_pause.hpp"

#include <algorithm>

namespace hibiscusferry
{

retry_pause::retry_pause(std::chrono::milliseconds first,
                         std::chrono::milliseconds longest)
    : first_(first)
    , longest_(longest)
    , step_(first)
{
}

std::chrono::milliseconds retry_pause::after_failure(std::uint64_t random)
{
    const std::chrono::milliseconds half = step_ / 2;
    const std::chrono::milliseconds part(
        random % static_cast<std::uint64_t>(half.count() + 1));
    const std::chrono::milliseconds pause = step_ - part;
    step_ = std::min(step_ * 2, longest_);
    return pause;
}

void retry_pause::reset()
{
    step_ = first_;
}

} // namespace hibiscusferry
