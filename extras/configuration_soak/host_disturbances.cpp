#include "configuration_soak/host_disturbances.hpp"

#include <algorithm>

namespace hibiscusferry::soak
{

void host_disturbances::begin()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    ++present_;
}

void host_disturbances::end(std::int64_t now_ms)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    --present_;
    last_end_ms_ = std::max(last_end_ms_, now_ms);
}

std::optional<std::int64_t> host_disturbances::undisturbed_since() const
{
    const std::lock_guard<std::mutex> lock(mutex_);
    if (present_ > 0)
        return std::nullopt;
    return last_end_ms_;
}

} // namespace hibiscusferry::soak
