#include "admission/share/workspace_limits.hpp"

#include <algorithm>
#include <cmath>
#include <map>

namespace hibiscusferry
{

namespace
{

double bucket_size(double rate)
{
    return rate *
           std::chrono::duration<double>(workspace_limits::bucket_duration)
               .count();
}

/** A host requests the demand when it is offered more than this fraction of
    its even share of a limit. */
constexpr double min_share_to_request_demand = 0.5;

} // namespace

workspace_limits::workspace_limits(std::string host, std::uint64_t incarnation,
                                   time_point now)
    : host_(std::move(host))
    , host_hash_(stable_hash(host_))
    , incarnation_(incarnation)
    , report_budget_(bytes_per_second, 4 * bytes_per_second, now)
{
}

// ------------------------------------------------------------------------
// Settings

void workspace_limits::configure(const service_document& document,
                                 time_point now)
{
    remove_unlisted_workspaces(document);
    workspaces_by_name workspaces;
    for (const workspace_entry& listed : document.workspaces)
    {
        workspace_keys keys;
        keys.all =
            configure_limit(document.service, listed.name, queue_lane::normal,
                            listed.tokens_per_second, now);
        keys.urgent =
            configure_limit(document.service, listed.name, queue_lane::urgent,
                            listed.urgent_tokens_per_second, now);
        if (keys.all != 0 || keys.urgent != 0)
            workspaces.emplace(listed.name, keys);
    }
    services_[document.service] = std::move(workspaces);
}

share_key workspace_limits::configure_limit(const std::string& service,
                                            const std::string& workspace,
                                            queue_lane lane, double limit,
                                            time_point now)
{
    const share_key key = share_key_of(service, workspace, lane);
    if (limit <= 0)
    {
        limits_.erase(key);
        return 0;
    }
    const double share_rate = limit / static_cast<double>(host_count_);
    const auto entry = limits_.find(key);
    if (entry == limits_.end())
    {
        limits_.emplace(
            key,
            limit_state{limit, 0, 0, 0, now, std::nullopt, now, 0,
                        token_bucket(share_rate, bucket_size(share_rate), now),
                        token_bucket(limit, bucket_size(limit), now),
                        demand_meter(now)});
        return key;
    }
    limit_state& state = entry->second;
    state.limit = limit;
    state.share_bucket.configure(share_rate, bucket_size(share_rate), now);
    state.limit_bucket.configure(limit, bucket_size(limit), now);
    return key;
}

void workspace_limits::remove_unlisted_workspaces(
    const service_document& document)
{
    const auto service = services_.find(document.service);
    if (service == services_.end())
        return;
    workspaces_by_name removed_workspaces = service->second;
    for (const workspace_entry& listed : document.workspaces)
        removed_workspaces.erase(listed.name);
    for (auto entry = removed_workspaces.begin();
         entry != removed_workspaces.end(); ++entry)
    {
        limits_.erase(entry->second.all);
        limits_.erase(entry->second.urgent);
    }
}

void workspace_limits::hosts_changed(std::size_t host_count, time_point now)
{
    host_count_ = std::max<std::size_t>(1, host_count);
    for (auto entry = limits_.begin(); entry != limits_.end(); ++entry)
    {
        const double share_rate = even_share(entry->second);
        entry->second.share_bucket.configure(share_rate,
                                             bucket_size(share_rate), now);
    }
}

std::size_t workspace_limits::size() const
{
    return limits_.size();
}

double workspace_limits::even_share(const limit_state& state) const
{
    return state.limit / static_cast<double>(host_count_);
}

// ------------------------------------------------------------------------
// Requests

limit_decision workspace_limits::admit(const std::string& service,
                                       const std::string& workspace,
                                       queue_lane lane, double cost,
                                       time_point now)
{
    limit_decision decision;
    decision.lane = lane;
    const auto workspaces = services_.find(service);
    if (workspaces == services_.end())
        return decision;
    const auto entry = workspaces->second.find(workspace);
    if (entry == workspaces->second.end())
        return decision;

    const workspace_keys& keys = entry->second;
    if (lane == queue_lane::urgent && keys.urgent != 0 &&
        !admit_one(keys.urgent, cost, now))
    {
        decision.lane = queue_lane::normal;
    }
    if (keys.all != 0 && !admit_one(keys.all, cost, now))
    {
        decision.admitted = false;
        decision.retry_after = retry_after(keys.all, now);
    }
    return decision;
}

bool workspace_limits::admit_one(share_key key, double cost, time_point now)
{
    limit_state& state = limits_.at(key);
    state.local_meter.add(cost, now);
    state.offered_remainder += cost;
    const double whole_tokens = std::floor(state.offered_remainder);
    state.offered += static_cast<std::uint64_t>(whole_tokens);
    state.offered_remainder -= whole_tokens;

    if (state.limit_bucket.level(now) <= 0)
        return false;
    if (!has_current_demand(state, now))
        return state.share_bucket.take(cost, now) &&
               state.limit_bucket.take(cost, now);

    const double fraction = state.limit / std::max(*state.demand, state.limit);
    if (fraction >= 1)
    {
        // Spreads the first refusals of the hosts over different requests of
        // the workspace.
        state.credit = -initial_credit_fraction(key) * cost;
        return state.limit_bucket.take(cost, now);
    }
    state.credit = std::min(state.credit + fraction * cost, cost);
    if (state.credit <= 0)
        return false;
    state.credit -= cost;
    return state.limit_bucket.take(cost, now);
}

bool workspace_limits::has_current_demand(const limit_state& state,
                                          time_point now) const
{
    return state.demand && now - state.demand_at < demand_lifetime;
}

double workspace_limits::initial_credit_fraction(share_key key) const
{
    constexpr std::uint64_t fraction_steps = 1024;
    return static_cast<double>(combine_hashes(key, host_hash_) %
                               fraction_steps) /
           static_cast<double>(fraction_steps);
}

std::chrono::seconds workspace_limits::retry_after(share_key key,
                                                   time_point now) const
{
    const limit_state& state = limits_.at(key);
    time_point retry_at = std::max(state.share_bucket.available_at(now),
                                   state.limit_bucket.available_at(now));
    if (has_current_demand(state, now))
    {
        retry_at = state.limit_bucket.available_at(now);
        const double fraction =
            state.limit / std::max(*state.demand, state.limit);
        const double local_rate = state.local_meter.per_second(now);
        if (state.credit < 0 && local_rate > 0)
        {
            const std::chrono::duration<double> wait(-state.credit /
                                                     (fraction * local_rate));
            retry_at = std::max(
                retry_at, now + std::chrono::ceil<std::chrono::seconds>(wait));
        }
    }
    constexpr std::chrono::seconds min_wait{1};
    constexpr std::chrono::seconds max_wait{60};
    return std::clamp(std::chrono::ceil<std::chrono::seconds>(retry_at - now),
                      min_wait, max_wait);
}

// ------------------------------------------------------------------------
// Messages

std::vector<addressed_report>
workspace_limits::reports(const share_layout& layout, time_point now)
{
    struct candidate
    {
        double significance = 0;
        share_key key = 0;
    };
    std::vector<candidate> due;
    for (auto entry = limits_.begin(); entry != limits_.end(); ++entry)
    {
        const limit_state& state = entry->second;
        if (is_due(state, now))
        {
            due.push_back({static_cast<double>(state.offered - state.reported) /
                               state.limit,
                           entry->first});
        }
    }
    std::sort(due.begin(), due.end(),
              [](const candidate& left, const candidate& right)
              { return left.significance > right.significance; });

    std::map<std::string, usage_report> by_relay;
    for (const candidate& due_entry : due)
    {
        const std::string& relay = layout.relay_of(due_entry.key);
        const bool is_remote = relay != host_;
        if (is_remote && report_budget_.level(now) <= 0)
            continue;
        limit_state& state = limits_.at(due_entry.key);
        usage_report& report = by_relay[relay];
        const double previous_bytes =
            report.entries.empty() ? -static_cast<double>(share_transport_bytes)
                                   : static_cast<double>(encoded_bytes(report));
        report.entries.push_back({due_entry.key, state.offered, state.reported,
                                  needs_demand(state, now)});
        if (is_remote)
        {
            report_budget_.adjust(
                previous_bytes - static_cast<double>(encoded_bytes(report)),
                now);
        }
        state.reported = state.offered;
        state.reported_at = now;
    }

    std::vector<addressed_report> reports;
    for (auto entry = by_relay.begin(); entry != by_relay.end(); ++entry)
    {
        entry->second.host = host_;
        entry->second.incarnation = incarnation_;
        entry->second.sequence = ++sequence_;
        reports.push_back({entry->first, std::move(entry->second)});
    }
    return reports;
}

void workspace_limits::answer(const demand_response& response, time_point now)
{
    for (const demand_entry& entry : response.entries)
    {
        const auto limit = limits_.find(entry.key);
        if (limit == limits_.end())
            continue;
        limit->second.demand = entry.tokens_per_second;
        limit->second.demand_at = now;
    }
}

bool workspace_limits::is_due(const limit_state& state, time_point now) const
{
    if (state.offered == state.reported)
        return false;
    const double unreported =
        static_cast<double>(state.offered - state.reported);
    const double interval =
        std::chrono::duration<double>(report_interval).count();
    return unreported >=
               even_share(state) * interval * min_share_to_request_demand ||
           now - state.reported_at >= max_report_delay;
}

bool workspace_limits::needs_demand(const limit_state& state,
                                    time_point now) const
{
    return state.local_meter.per_second(now) >
           min_share_to_request_demand * even_share(state);
}

} // namespace hibiscusferry
