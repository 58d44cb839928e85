#ifndef HIBISCUSFERRY_SERVING_LIMITS_RETRY_DELAY_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_RETRY_DELAY_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hibiscusferry
{

/** Returns the time after which a refused caller may retry: the time needed to
    process the current backlog plus a random part of up to the same length, so
    that callers refused together do not retry together.

    @param backlog       expected time until capacity is available
    @param random_value  selects the random part
*/
inline std::chrono::milliseconds retry_delay(std::chrono::milliseconds backlog,
                                             std::uint64_t random_value)
{
    constexpr std::chrono::milliseconds min_delay{50};
    constexpr std::chrono::milliseconds max_spread{2000};
    const std::chrono::milliseconds base = std::max(backlog, min_delay);
    const std::chrono::milliseconds spread = std::min(base, max_spread);
    return base +
           std::chrono::milliseconds(
               random_value % static_cast<std::uint64_t>(spread.count() + 1));
}

} // namespace hibiscusferry

#endif
