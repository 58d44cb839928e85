#include "peers/queue/reconnect_backoff.hpp"

#include <algorithm>

namespace hibiscusferry
{

reconnect_backoff::reconnect_backoff(std::chrono::milliseconds initial,
                                     std::chrono::milliseconds max_delay)
    : initial_(initial)
    , max_delay_(max_delay)
    , current_(initial)
{
}

std::chrono::milliseconds reconnect_backoff::next_delay(std::uint64_t random)
{
    const std::chrono::milliseconds half = current_ / 2;
    const std::chrono::milliseconds jitter(
        random % static_cast<std::uint64_t>(half.count() + 1));
    const std::chrono::milliseconds backoff = current_ - jitter;
    current_ = std::min(current_ * 2, max_delay_);
    return backoff;
}

void reconnect_backoff::reset()
{
    current_ = initial_;
}

} // namespace hibiscusferry
