#ifndef HIBISCUSFERRY_SHARING_USAGE_USAGE_COUNTER_HPP
#define HIBISCUSFERRY_SHARING_USAGE_USAGE_COUNTER_HPP

#include "sharing/usage/fleet_clock.hpp"
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** Requests by the name of their workspace. */
using workspace_counts = std::map<std::string, std::uint64_t>;

/** Counts the requests of workspaces that began to run, by windows of time.

    Window k begins k window lengths after the start of 1970. The counts of a
    window only grow, so a later copy replaces an earlier one. */
class usage_counter
{
public:
    explicit usage_counter(std::chrono::milliseconds window_length);

    std::uint64_t window_of(fleet_time time) const;
    fleet_time end_of(std::uint64_t window) const;

    /** Counts a request that began to run at a time. */
    void count(const std::string& workspace, fleet_time began_at);

    /** The windows that are kept, in ascending order. */
    const std::map<std::uint64_t, workspace_counts>& windows() const;

    /** Drops all windows before one. */
    void forget_before(std::uint64_t window);

private:
    std::chrono::milliseconds window_length_;
    std::map<std::uint64_t, workspace_counts> windows_;
};

} // namespace hibiscusferry

#endif
