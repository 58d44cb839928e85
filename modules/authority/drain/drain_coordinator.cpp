#include "authority/drain/drain_coordinator.hpp"

#include <algorithm>

namespace hibiscusferry
{

bool operator==(const routing_version& left, const routing_version& right)
{
    return left.fencing_number == right.fencing_number &&
           left.sequence == right.sequence;
}

bool operator<(const routing_version& left, const routing_version& right)
{
    if (left.fencing_number != right.fencing_number)
        return left.fencing_number < right.fencing_number;
    return left.sequence < right.sequence;
}

drain_coordinator::drain_coordinator(std::uint64_t fencing_number,
                                     bool former_stopped,
                                     const drain_settings& settings,
                                     time_point now)
    : settings_(settings)
    , version_{fencing_number, 0}
{
    if (former_stopped)
        former_stopped_ = now;
}

// ========================================================================
// Events

drain_actions drain_coordinator::begin(const std::string& target,
                                       time_point now)
{
    drain_actions actions;
    if (drains_.count(target) != 0)
        return actions;
    forget_lapsed(now);
    drain& state = drains_[target];
    state.stopped_at = next_version();
    state.granted_before = routers_;
    announce(target, state, now, actions);
    update(state, now);
    return actions;
}

drain_actions drain_coordinator::reopen(const std::string& target,
                                        time_point now)
{
    drain_actions actions;
    if (drains_.erase(target) == 0)
        return actions;
    forget_lapsed(now);
    const routing_version version = next_version();
    for (const auto& [router, granted] : routers_)
        actions.announcements.push_back({router, target, version, false});
    return actions;
}

permission_grant
drain_coordinator::permission_requested(const std::string& router,
                                        time_point now)
{
    routers_[router] = now;
    permission_grant grant;
    grant.router = router;
    grant.version = version_;
    grant.term = settings_.permission_term;
    for (const auto& [target, state] : drains_)
        grant.stopped_targets.push_back(target);
    return grant;
}

drain_actions
drain_coordinator::confirmed(const drain_confirmation& confirmation,
                             time_point now)
{
    const auto found = drains_.find(confirmation.target);
    if (found != drains_.end() &&
        !(confirmation.version < found->second.stopped_at))
    {
        found->second.confirmed[confirmation.router] = confirmation.in_flight;
        update(found->second, now);
    }
    return {};
}

void drain_coordinator::former_holder_stopped(time_point now)
{
    if (!former_stopped_)
        former_stopped_ = now;
}

drain_actions drain_coordinator::load_reported(
    const std::string& target, bool idle, time_point request_sent,
    std::chrono::milliseconds report_age, time_point now)
{
    drain_actions actions;
    const auto found = drains_.find(target);
    if (found == drains_.end() || found->second.drained)
        return actions;
    drain& state = found->second;
    update(state, now);
    // The report was made after the request minus its age, or later.
    if (!idle || !state.closed || request_sent - report_age < *state.closed)
        return actions;
    state.drained = true;
    actions.drained.push_back(target);
    return actions;
}

drain_actions drain_coordinator::tick(time_point now)
{
    drain_actions actions;
    for (auto& [target, state] : drains_)
    {
        update(state, now);
        if (!state.closed && now >= state.next_announcement)
            announce(target, state, now, actions);
    }
    return actions;
}

// ========================================================================
// State

bool drain_coordinator::is_drained(const std::string& target) const
{
    const auto found = drains_.find(target);
    return found != drains_.end() && found->second.drained;
}

std::vector<std::string>
drain_coordinator::waiting_for(const std::string& target, time_point now) const
{
    std::vector<std::string> names;
    const auto found = drains_.find(target);
    if (found == drains_.end())
        return names;
    for (const auto& [router, granted] : found->second.granted_before)
    {
        if (holds_up(router, granted, found->second, now))
            names.push_back(router);
    }
    return names;
}

routing_version drain_coordinator::version() const
{
    return version_;
}

// ========================================================================
// Private

bool drain_coordinator::has_permission(time_point granted, time_point now) const
{
    return now < granted + settings_.permission_term + settings_.margin;
}

bool drain_coordinator::holds_up(const std::string& router, time_point granted,
                                 const drain& state, time_point now) const
{
    const auto confirmation = state.confirmed.find(router);
    if (confirmation == state.confirmed.end())
        return has_permission(granted, now);
    if (confirmation->second == 0)
        return false;
    // Work of a router that is gone shows in the target's own report.
    const auto known = routers_.find(router);
    return known != routers_.end() && has_permission(known->second, now);
}

void drain_coordinator::announce(const std::string& target, drain& state,
                                 time_point now, drain_actions& actions)
{
    state.next_announcement = now + settings_.announce_period;
    for (const auto& [router, granted] : state.granted_before)
    {
        if (holds_up(router, granted, state, now))
        {
            actions.announcements.push_back(
                {router, target, state.stopped_at, true});
        }
    }
}

void drain_coordinator::update(drain& state, time_point now)
{
    if (state.closed || !former_stopped_ ||
        has_permission(*former_stopped_, now))
        return;
    const bool open =
        std::any_of(state.granted_before.begin(), state.granted_before.end(),
                    [&](const auto& entry) {
                        return holds_up(entry.first, entry.second, state, now);
                    });
    if (!open)
        state.closed = now;
}

void drain_coordinator::forget_lapsed(time_point now)
{
    for (auto entry = routers_.begin(); entry != routers_.end();)
    {
        if (has_permission(entry->second, now))
            ++entry;
        else
            entry = routers_.erase(entry);
    }
}

routing_version drain_coordinator::next_version()
{
    ++version_.sequence;
    return version_;
}

} // namespace hibiscusferry
