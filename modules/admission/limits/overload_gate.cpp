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
    const bool across = overloaded_ ? expected_wait <= limits_.leave_wait
                                    : expected_wait > limits_.enter_wait;
    if (!across)
    {
        crossing_ = false;
        return false;
    }
    if (!crossing_)
    {
        crossing_ = true;
        crossed_ = now;
    }
    const std::chrono::milliseconds needed =
        overloaded_ ? limits_.leave_after : limits_.enter_after;
    if (now - crossed_ < needed)
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
