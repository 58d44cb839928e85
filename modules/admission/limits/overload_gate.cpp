#include "admission/limits/overload_gate.hpp"

namespace hibiscusferry
{

overload_gate::overload_gate(const overload_limits& limits)
    : limits_(limits)
{
}

bool overload_gate::update(std::chrono::milliseconds expected_wait,
                           time_point now)
{
    const bool is_across_threshold = overloaded_
                                         ? expected_wait <= limits_.leave_wait
                                         : expected_wait > limits_.enter_wait;
    if (!is_across_threshold)
    {
        crossing_ = false;
        return false;
    }
    if (!crossing_)
    {
        crossing_ = true;
        crossed_at_ = now;
    }
    const std::chrono::milliseconds min_duration =
        overloaded_ ? limits_.leave_after : limits_.enter_after;
    if (now - crossed_at_ < min_duration)
        return false;
    overloaded_ = !overloaded_;
    crossing_ = false;
    return true;
}

bool overload_gate::is_overloaded() const
{
    return overloaded_;
}

} // namespace hibiscusferry
