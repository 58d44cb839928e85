#include "sharing/usage/usage_collector.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Clocks of hosts that have not reported for this long are not considered. */
constexpr std::chrono::seconds clock_sample_lifetime{10};
/** Windows that are kept at most, should a host state windows far off. */
constexpr std::size_t max_windows = 64;

} // namespace

void usage_collector::apply(const usage_host_report& report,
                            time_point received_at, bool is_prompt)
{
    if (is_prompt)
        clocks_[report.host] = {
            report.time_of_day - received_at.time_since_epoch(), received_at};
    if (report.window < first_window_)
        return;
    host_counts& entry =
        windows_[report.window][{report.host, report.incarnation}];
    entry.parts = std::max(entry.parts, report.parts);
    for (const auto& [workspace, requests] : report.counts)
    {
        std::uint64_t& counted = entry.counts[workspace];
        counted = std::max(counted, requests);
    }
    if (report.is_final)
        entry.final_parts.insert(report.part);
    if (windows_.size() > max_windows)
        windows_.erase(windows_.begin());
}

std::size_t
usage_collector::missing_hosts(std::uint64_t window,
                               const std::vector<std::string>& hosts) const
{
    std::set<std::string> complete_hosts;
    const auto entries = windows_.find(window);
    if (entries != windows_.end())
    {
        for (const auto& [origin, entry] : entries->second)
        {
            if (entry.final_parts.size() >= entry.parts)
                complete_hosts.insert(origin.first);
        }
    }
    return static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [&complete_hosts](const std::string& host)
                      { return complete_hosts.count(host) == 0; }));
}

workspace_counts usage_collector::merge(std::uint64_t window) const
{
    workspace_counts sum;
    const auto entries = windows_.find(window);
    if (entries == windows_.end())
        return sum;
    for (const auto& [origin, entry] : entries->second)
    {
        for (const auto& [workspace, requests] : entry.counts)
            sum[workspace] += requests;
    }
    return sum;
}

std::size_t usage_collector::sources(std::uint64_t window) const
{
    const auto entries = windows_.find(window);
    return entries == windows_.end() ? 0 : entries->second.size();
}

std::optional<fleet_time> usage_collector::agreed_time(std::size_t min_hosts,
                                                       time_point now) const
{
    std::vector<std::chrono::nanoseconds> offsets;
    for (const auto& [host, sample] : clocks_)
    {
        if (now - sample.received_at <= clock_sample_lifetime)
            offsets.push_back(sample.offset);
    }
    if (offsets.empty() || offsets.size() < min_hosts)
        return std::nullopt;
    const auto median =
        offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
    std::nth_element(offsets.begin(), median, offsets.end());
    return std::chrono::duration_cast<fleet_time>(now.time_since_epoch() +
                                                  *median);
}

void usage_collector::forget_before(std::uint64_t window, time_point now)
{
    for (auto clock = clocks_.begin(); clock != clocks_.end();)
    {
        const bool is_old =
            now - clock->second.received_at > clock_sample_lifetime;
        clock = is_old ? clocks_.erase(clock) : std::next(clock);
    }
    first_window_ = std::max(first_window_, window);
    windows_.erase(windows_.begin(), windows_.lower_bound(window));
}

} // namespace hibiscusferry
