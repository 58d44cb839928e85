#include "routing/targets/send_permission.hpp"

#include <algorithm>
#include <tuple>

namespace hibiscusferry
{

namespace
{

bool contains(const std::vector<std::string>& list, const std::string& item)
{
    return std::find(list.begin(), list.end(), item) != list.end();
}

} // namespace

bool operator==(const announcement_version& left,
                const announcement_version& right)
{
    return left.fencing_number == right.fencing_number &&
           left.sequence == right.sequence;
}

bool operator<(const announcement_version& left,
               const announcement_version& right)
{
    return std::tie(left.fencing_number, left.sequence) <
           std::tie(right.fencing_number, right.sequence);
}

send_permission::send_permission(std::string router, std::string service)
    : router_(std::move(router))
{
    last_announcement_.service = std::move(service);
}

void send_permission::set_fixed_targets(const std::vector<std::string>& targets)
{
    fixed_targets_ = targets;
}

bool send_permission::receive(const routing_announcement& announcement,
                              time_point requested_at)
{
    if (announcement.service != last_announcement_.service ||
        (has_announcement_ &&
         announcement.version < last_announcement_.version))
    {
        return false;
    }
    const bool is_new =
        !has_announcement_ || last_announcement_.version < announcement.version;
    const time_point lapses_at =
        requested_at + std::min(announcement.term, max_permission_term);
    lapses_at_ =
        has_announcement_ ? std::max(lapses_at_, lapses_at) : lapses_at;
    last_announcement_ = announcement;
    has_announcement_ = true;

    const announcement_version version = last_announcement_.version;
    stops_.erase(std::remove_if(stops_.begin(), stops_.end(),
                                [version](const stop_announcement& stop)
                                { return !(version < stop.version); }),
                 stops_.end());
    return is_new;
}

bool send_permission::receive(const stop_announcement& announcement)
{
    if (has_announcement_ &&
        !(last_announcement_.version < announcement.version))
        return is_stopped(announcement.target);
    stops_.push_back(announcement);
    return true;
}

void send_permission::lapsed_peer_reported(
    const std::string& peer, const std::vector<std::string>& known_stops,
    std::size_t router_count, time_point requested_at)
{
    router_count_ = std::max<std::size_t>(1, router_count);
    lapsed_peer& report = lapsed_peers_[peer];
    if (requested_at >= report.requested_at)
        report = {requested_at, known_stops};
    for (auto entry = lapsed_peers_.begin(); entry != lapsed_peers_.end();)
    {
        const bool is_expired =
            requested_at - entry->second.requested_at >= peer_report_term;
        entry = is_expired ? lapsed_peers_.erase(entry) : std::next(entry);
    }
}

permission_verdict send_permission::check(const std::string& target,
                                          time_point now) const
{
    if (is_stopped(target))
        return permission_verdict::stopped;
    if (!has_lapsed(now) || contains(fixed_targets_, target) ||
        peers_permit(target, now))
    {
        return permission_verdict::permitted;
    }
    return permission_verdict::lapsed;
}

bool send_permission::has_lapsed(time_point now) const
{
    return !has_announcement_ || now >= lapses_at_;
}

time_point send_permission::lapses_at() const
{
    return lapses_at_;
}

std::vector<std::string> send_permission::known_stops() const
{
    std::vector<std::string> targets = last_announcement_.stopped_targets;
    for (const stop_announcement& stop : stops_)
        targets.push_back(stop.target);
    return targets;
}

stop_confirmation send_permission::confirm(const std::string& target,
                                           std::size_t in_flight) const
{
    return {router_, last_announcement_.service, target, newest_stop(target),
            in_flight};
}

bool send_permission::is_stopped(const std::string& target) const
{
    return contains(last_announcement_.stopped_targets, target) ||
           std::any_of(stops_.begin(), stops_.end(),
                       [&target](const stop_announcement& stop)
                       { return stop.target == target; });
}

bool send_permission::peers_permit(const std::string& target,
                                   time_point now) const
{
    std::size_t lapsed = 1;
    for (auto entry = lapsed_peers_.begin(); entry != lapsed_peers_.end();
         ++entry)
    {
        if (now - entry->second.requested_at >= peer_report_term)
            continue;
        if (contains(entry->second.known_stops, target))
            return false;
        ++lapsed;
    }
    return lapsed > max_unconfirmed_routers(router_count_);
}

announcement_version
send_permission::newest_stop(const std::string& target) const
{
    announcement_version newest = last_announcement_.version;
    for (const stop_announcement& stop : stops_)
    {
        if (stop.target == target && newest < stop.version)
            newest = stop.version;
    }
    return newest;
}

} // namespace hibiscusferry
