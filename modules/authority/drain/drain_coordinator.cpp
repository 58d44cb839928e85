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
        former_holder_stopped_at_ = now;
}

// ========================================================================
// Events

drain_actions drain_coordinator::begin(const std::string& target,
                                       time_point now)
{
    drain_actions actions;
    if (drains_.count(target) != 0)
        return actions;
    remove_lapsed_routers(now);
    drain& state = drains_[target];
    state.stop_version = next_version();
    state.grants_before_stop = last_grants_;
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
    remove_lapsed_routers(now);
    const routing_version version = next_version();
    for (const auto& [router, granted] : last_grants_)
        actions.announcements.push_back({router, target, version, false});
    return actions;
}

permission_grant
drain_coordinator::permission_requested(const std::string& router,
                                        time_point now)
{
    last_grants_[router] = now;
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
    const auto drain_entry = drains_.find(confirmation.target);
    if (drain_entry != drains_.end() &&
        !(confirmation.version < drain_entry->second.stop_version))
    {
        drain_entry->second.confirmed[confirmation.router] =
            confirmation.in_flight;
        update(drain_entry->second, now);
    }
    return {};
}

void drain_coordinator::former_holder_stopped(time_point now)
{
    if (!former_holder_stopped_at_)
        former_holder_stopped_at_ = now;
}

drain_actions drain_coordinator::load_reported(
    const std::string& target, bool idle, time_point request_sent,
    std::chrono::milliseconds report_age, time_point now)
{
    drain_actions actions;
    const auto drain_entry = drains_.find(target);
    if (drain_entry == drains_.end() || drain_entry->second.drained)
        return actions;
    drain& state = drain_entry->second;
    update(state, now);
    // The report was made no earlier than the time of the request minus the
    // report's age.
    if (!idle || !state.no_sender_since ||
        request_sent - report_age < *state.no_sender_since)
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
        if (!state.no_sender_since && now >= state.next_announcement)
            announce(target, state, now, actions);
    }
    return actions;
}

// ========================================================================
// State

bool drain_coordinator::is_drained(const std::string& target) const
{
    const auto drain_entry = drains_.find(target);
    return drain_entry != drains_.end() && drain_entry->second.drained;
}

std::vector<std::string>
drain_coordinator::waiting_for(const std::string& target, time_point now) const
{
    std::vector<std::string> routers;
    const auto drain_entry = drains_.find(target);
    if (drain_entry == drains_.end())
        return routers;
    for (const auto& [router, granted] : drain_entry->second.grants_before_stop)
    {
        if (blocks_drain(router, granted, drain_entry->second, now))
            routers.push_back(router);
    }
    return routers;
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

bool drain_coordinator::blocks_drain(const std::string& router,
                                     time_point granted, const drain& state,
                                     time_point now) const
{
    const auto confirmation = state.confirmed.find(router);
    if (confirmation == state.confirmed.end())
        return has_permission(granted, now);
    if (confirmation->second == 0)
        return false;
    // Requests of a router without a permission appear in the target's own load
    // report.
    const auto last_grant = last_grants_.find(router);
    return last_grant != last_grants_.end() &&
           has_permission(last_grant->second, now);
}

void drain_coordinator::announce(const std::string& target, drain& state,
                                 time_point now, drain_actions& actions)
{
    state.next_announcement = now + settings_.announce_period;
    for (const auto& [router, granted] : state.grants_before_stop)
    {
        if (blocks_drain(router, granted, state, now))
        {
            actions.announcements.push_back(
                {router, target, state.stop_version, true});
        }
    }
}

void drain_coordinator::update(drain& state, time_point now)
{
    if (state.no_sender_since || !former_holder_stopped_at_ ||
        has_permission(*former_holder_stopped_at_, now))
        return;
    const bool can_any_router_send = std::any_of(
        state.grants_before_stop.begin(), state.grants_before_stop.end(),
        [&](const auto& entry)
        { return blocks_drain(entry.first, entry.second, state, now); });
    if (!can_any_router_send)
        state.no_sender_since = now;
}

void drain_coordinator::remove_lapsed_routers(time_point now)
{
    for (auto entry = last_grants_.begin(); entry != last_grants_.end();)
    {
        if (has_permission(entry->second, now))
            ++entry;
        else
            entry = last_grants_.erase(entry);
    }
}

routing_version drain_coordinator::next_version()
{
    ++version_.sequence;
    return version_;
}

} // namespace hibiscusferry
