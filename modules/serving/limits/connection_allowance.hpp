#ifndef HIBISCUSFERRY_SERVING_LIMITS_CONNECTION_ALLOWANCE_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_CONNECTION_ALLOWANCE_HPP

#include <algorithm>
#include <cstddef>

namespace hibiscusferry
{

/** Returns how many connections this host may hold open to one target: an even
    share of the target's capacity, less a reserve for hosts that have joined
    but are not known yet. At least one, so that every host can reach the
    service.

    @param target_capacity  connections the target accepts from all hosts
*/
inline std::size_t connection_allowance(std::size_t target_capacity,
                                        std::size_t live_hosts)
{
    constexpr std::size_t usable_percent = 85;
    const std::size_t hosts = std::max<std::size_t>(live_hosts, 1);
    return std::max<std::size_t>(target_capacity * usable_percent / 100 / hosts,
                                 1);
}

} // namespace hibiscusferry

#endif
