#ifndef HIBISCUSFERRY_SHARING_USAGE_USAGE_COLLECTOR_HPP
#define HIBISCUSFERRY_SHARING_USAGE_USAGE_COLLECTOR_HPP

#include "sharing/usage/usage_message.hpp"
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** Merges what the hosts have counted, at the host that reports for the fleet.

    Answers lost, repeated and late reports, hosts that die within a window, and
    clocks that are off at a minority of the hosts. */
class usage_collector
{
public:
    /** Applies a report.
        @param is_prompt  whether it was read when it arrived, so that it shows
                          the host's time of day */
    void apply(const usage_host_report& report, time_point received_at,
               bool is_prompt = true);

    /** The hosts among `hosts` whose final counts of a window are missing. */
    std::size_t missing_hosts(std::uint64_t window,
                              const std::vector<std::string>& hosts) const;

    /** The sum of all counts of a window. */
    workspace_counts merge(std::uint64_t window) const;

    /** Number of runs of processes that have reported a window. */
    std::size_t sources(std::uint64_t window) const;

    /** The median of the hosts' times of day; none without recent reports of
        this many hosts. */
    std::optional<fleet_time> agreed_time(std::size_t min_hosts,
                                          time_point now) const;

    /** Drops all windows before one. Reports of them are ignored from now on.
     */
    void forget_before(std::uint64_t window, time_point now);

private:
    struct host_counts
    {
        workspace_counts counts;
        /** The parts whose final counts have arrived. */
        std::set<std::uint32_t> final_parts;
        std::uint32_t parts = 1;
    };
    struct clock_sample
    {
        /** The host's time of day less the steady clock of this host. */
        std::chrono::nanoseconds offset{0};
        time_point received_at{};
    };
    /** The name of a host and the incarnation of its process. */
    using source = std::pair<std::string, std::uint64_t>;

    std::map<std::uint64_t, std::map<source, host_counts>> windows_;
    std::map<std::string, clock_sample> clocks_;
    std::uint64_t first_window_ = 0;
};

} // namespace hibiscusferry

#endif
