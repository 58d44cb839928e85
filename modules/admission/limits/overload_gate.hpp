#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_OVERLOAD_GATE_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_OVERLOAD_GATE_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** Thresholds at which a service counts as overloaded at this host. */
struct overload_limits
{
    /** A wait above this value starts an overload ... */
    std::chrono::milliseconds enter_wait{2000};
    /** ... after it has lasted for this time. */
    std::chrono::milliseconds enter_after{1000};
    /** A wait of at most this value ends the overload ... */
    std::chrono::milliseconds leave_wait{500};
    /** ... after it has lasted for this time. */
    std::chrono::milliseconds leave_after{5000};
};

/** Detects whether a service is overloaded, with hysteresis in both the wait
    and its duration. The daemon reports the state (metrics, alarm 1302) and
    makes no retries during an overload. The gate does not refuse requests;
    the fair_queue does. */
class overload_gate
{
public:
    explicit overload_gate(const overload_limits& limits);

    /** Updates the state with the current expected wait.
        @returns true if the state has changed */
    bool update(std::chrono::milliseconds expected_wait, time_point now);

    bool is_overloaded() const;

private:
    overload_limits limits_;
    bool overloaded_ = false;
    /** When the wait crossed the threshold of the next state. Valid only
        while `crossing_` is set. */
    time_point crossed_at_;
    bool crossing_ = false;
};

} // namespace hibiscusferry

#endif
