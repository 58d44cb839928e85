#include "sharing/usage/usage_counter.hpp"

#include <algorithm>

namespace hibiscusferry
{

usage_counter::usage_counter(std::chrono::milliseconds window_length)
    : window_length_(window_length)
{
}

std::uint64_t usage_counter::window_of(fleet_time time) const
{
    return static_cast<std::uint64_t>(
        std::max<fleet_time>(time, fleet_time(0)) / window_length_);
}

fleet_time usage_counter::end_of(std::uint64_t window) const
{
    return window_length_ * (static_cast<std::int64_t>(window) + 1);
}

void usage_counter::count(const std::string& workspace, fleet_time began_at)
{
    ++windows_[window_of(began_at)][workspace];
}

const std::map<std::uint64_t, workspace_counts>& usage_counter::windows() const
{
    return windows_;
}

void usage_counter::forget_before(std::uint64_t window)
{
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

} // namespace hibiscusferry
