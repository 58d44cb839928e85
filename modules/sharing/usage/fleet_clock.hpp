#ifndef HIBISCUSFERRY_SHARING_USAGE_FLEET_CLOCK_HPP
#define HIBISCUSFERRY_SHARING_USAGE_FLEET_CLOCK_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** Time since the start of 1970 on which all hosts agree. */
using fleet_time = std::chrono::milliseconds;

/** The time of day as agreed by all hosts, on a clock that never jumps.

    A host's own time of day may be off and may jump by seconds. It is used only
    until the collector of the fleet has stated the agreed time. */
class fleet_clock
{
public:
    /** @param time_of_day  the host's own time of day at `now` */
    fleet_clock(fleet_time time_of_day, time_point now);

    /** Applies the agreed time that the collector has stated in response to a
        message.
        @param sent_at      when the message was sent
        @param received_at  when the response arrived */
    void synchronize(fleet_time agreed_time, time_point sent_at,
                     time_point received_at);

    /** Sets the agreed time at `now`, at the collector itself. */
    void set(fleet_time agreed_time, time_point now);

    fleet_time time(time_point at) const;

    /** Whether the agreed time has been received. */
    bool is_synchronized() const;

private:
    /** Offset of the agreed time to the steady clock. */
    std::chrono::nanoseconds offset_;
    /** Round trip of the best response so far. It grows slowly, so that a
        change of the route is accepted in the end. */
    std::chrono::nanoseconds best_round_trip_;
    bool is_synchronized_ = false;
};

} // namespace hibiscusferry

#endif
