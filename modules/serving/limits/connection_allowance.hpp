#ifndef HIBISCUSFERRY_SERVING_LIMITS_CONNECTION_ALLOWANCE_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_CONNECTION_ALLOWANCE_HPP

#include <algorithm>
#include <cstddef>

namespace hibiscusferry
{

/** How many connections to one target this host may have open: its even part
    of what the target takes, less a reserve for hosts that are not known yet.
    At least one, so that no host is shut out of a service. */
inline std::size_t connection_allowance(std::size_t max_targets,
                                        std::size_t live_hosts)
{
    constexpr std::size_t usable_percent = 85;
    const std::size_t hosts = std::max<std::size_t>(live_hosts, 1);
    return std::max<std::size_t>(max_targets * usable_percent / 100 / hosts, 1);
}

} // namespace hibiscusferry

#endif
