#ifndef HIBISCUSFERRY_GATEWAY_STATE_CONFIGURATION_LAG_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_CONFIGURATION_LAG_HPP

#include "storage/storage.hpp"
#include <chrono>
#include <deque>
#include <optional>

namespace hibiscusferry
{

/** Knows since when this host has lacked a configuration that another host has.

    A host learns the positions of other hosts before it receives what they
    have. Without contact to any host that is ahead, nothing is known to be
    missing.
*/
class configuration_lag
{
public:
    /** Records that another host has a newer configuration.
        @param position  that of the other host
        @param known_at  when the other host was asked */
    void record_newer(const store_position& position, time_point known_at);

    /** Records that this host has all changes up to a position. */
    void record_own(const store_position& position);

    /** Since when a newer configuration has been missing; none if none is. */
    std::optional<time_point> missing_since() const;

    /** How long a newer configuration has been missing; zero if none is. */
    std::chrono::milliseconds duration(time_point now) const;

private:
    struct missing_position
    {
        store_position position;
        time_point known_at;
    };

    /** Positions that this host has not reached, the oldest first. */
    std::deque<missing_position> missing_;
};

} // namespace hibiscusferry

#endif
