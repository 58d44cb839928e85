#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_OVERLOAD_GATE_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_OVERLOAD_GATE_HPP

#include "foundation/foundation.hpp"
#include <chrono>

namespace hibiscusferry
{

/** When a service counts as overloaded at this host. */
struct overload_limits
{
    /** Overloaded once requests have waited longer than this ... */
    std::chrono::milliseconds enter_wait{2000};
    /** ... for this long, ... */
    std::chrono::milliseconds enter_after{1000};
    /** ... until they wait no longer than this ... */
    std::chrono::milliseconds leave_wait{500};
    /** ... for this long. */
    std::chrono::milliseconds leave_after{5000};
};

/** Says whether a service is overloaded, with hysteresis in both the wait
    and the time. The daemon reports it (metrics, alarm 1302) and sends nothing
    again meanwhile. It refuses nothing by itself; the fair_queue does. */
class overload_gate
{
public:
    explicit overload_gate(const overload_limits& limits);

    /** Takes the present expected wait into account.
        @returns true when the state has changed */
    bool update(std::chrono::milliseconds expected_wait, time_point now);

    bool is_overloaded() const;

private:
    overload_limits limits_;
    bool overloaded_ = false;
    /** Since when the wait has been on the other side; none if it is not. */
    time_point crossed_;
    bool crossing_ = false;
};

} // namespace hibiscusferry

#endif
