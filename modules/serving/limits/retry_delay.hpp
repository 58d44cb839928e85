#ifndef HIBISCUSFERRY_SERVING_LIMITS_RETRY_DELAY_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_RETRY_DELAY_HPP

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace hibiscusferry
{

/** When a refused caller may come back: after the backlog that refused it is
    worked off, spread over as long again, so that callers who were refused
    together do not return together.

    @param backlog  time until a place is expected
    @param draw  a random number for the spread
*/
inline std::chrono::milliseconds retry_delay(std::chrono::milliseconds backlog,
                                             std::uint64_t draw)
{
    constexpr std::chrono::milliseconds shortest{50};
    constexpr std::chrono::milliseconds longest{2000};
    const std::chrono::milliseconds base =
        std::min(std::max(backlog, shortest), longest);
    return base + std::chrono::milliseconds(
                      draw % static_cast<std::uint64_t>(base.count() + 1));
}

} // namespace hibiscusferry

#endif
