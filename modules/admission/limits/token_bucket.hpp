#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_TOKEN_BUCKET_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_TOKEN_BUCKET_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** A token bucket that may be overdrawn by one request: work passes while
    the level is above zero, whatever its size, and the debt is paid off
    before more passes. So no request is too large ever to pass, and the
    sustained rate holds. */
class token_bucket
{
public:
    /** @param rate  units a second
        @param burst  the level when full and at the start */
    token_bucket(double rate, double burst, time_point now);

    /** Sets a new rate and burst; the level is kept, up to the burst. */
    void configure(double rate, double burst, time_point now);

    /** Takes `amount` if the level is above zero. */
    bool take(double amount, time_point now);

    /** Adds (or takes away) units, for the correction of an estimate. */
    void adjust(double amount, time_point now);

    /** When the level will be above zero again; `now` if it is. */
    time_point available_at(time_point now) const;

    double level(time_point now) const;

private:
    void refill(time_point now);

    double rate_;
    double burst_;
    double level_;
    time_point refilled_;
};

} // namespace hibiscusferry

#endif
