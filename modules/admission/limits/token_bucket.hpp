#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_TOKEN_BUCKET_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_TOKEN_BUCKET_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** A token bucket that a single request may overdraw.

    A request of any size is accepted while the level is above zero, and the
    bucket refills to above zero before it accepts another. No request is
    therefore too large to be accepted, and the sustained rate is kept. */
class token_bucket
{
public:
    /** @param rate  units per second
        @param burst  the capacity and the initial level */
    token_bucket(double rate, double burst, time_point now);

    /** Sets a new rate and burst. The level is kept, limited to the burst. */
    void configure(double rate, double burst, time_point now);

    /** Takes `amount` if the level is above zero.
        @returns whether it was taken */
    bool take(double amount, time_point now);

    /** Adds units, or removes them if `amount` is negative, to correct an
        estimate. */
    void adjust(double amount, time_point now);

    /** Returns when the level will be above zero: `now` if it already is. */
    time_point available_at(time_point now) const;

    double level(time_point now) const;

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double level_;
    time_point refilled_at_;
};

} // namespace hibiscusferry

#endif
