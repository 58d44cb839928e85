#include "admission/share/share_aggregator.hpp"

#include <algorithm>
#include <cmath>
#include <map>
#include <tuple>

namespace hibiscusferry
{

share_aggregator::share_aggregator(std::string host, std::uint64_t incarnation,
                                   time_point now)
    : host_(std::move(host))
    , incarnation_(incarnation)
    , report_budget_(bytes_per_second, 2 * bytes_per_second, now)
    , response_budget_(bytes_per_second, 2 * bytes_per_second, now)
    , last_cleanup_(now)
{
}

void share_aggregator::report(const usage_report& report, time_point now)
{
    for (const usage_entry& entry : report.entries)
    {
        key_state& state = state_of(entry.key);
        if (entry.needs_demand)
            state.demand_requested_at = now;
        if (!report.from_relay)
        {
            state.offered_by_hosts +=
                record_increase(report, entry, state.hosts, now);
            continue;
        }
        if (!state.meter)
            state.meter.emplace(now);
        const std::uint64_t amount =
            record_increase(report, entry, state.relays, now);
        state.meter->add(static_cast<double>(amount), now);
    }
}

void share_aggregator::answer(const demand_response& response, time_point now)
{
    for (const demand_entry& entry : response.entries)
    {
        const auto limit = keys_.find(entry.key);
        if (limit == keys_.end())
            continue;
        limit->second.owner_demand = entry.tokens_per_second;
        limit->second.owner_demand_at = now;
    }
}

share_messages share_aggregator::tick(const share_layout& layout,
                                      time_point now)
{
    remove_silent_reporters(now);
    add_own_row(layout, now);
    return {report_to_owners(layout, now), respond_to_reporters(layout, now)};
}

double share_aggregator::demand(share_key key, time_point now) const
{
    const auto limit = keys_.find(key);
    if (limit == keys_.end() || !limit->second.meter)
        return 0;
    return limit->second.meter->per_second(now);
}

std::size_t share_aggregator::size() const
{
    return keys_.size();
}

// ------------------------------------------------------------------------
// Reports to owners

std::uint64_t share_aggregator::record_increase(const usage_report& report,
                                                const usage_entry& entry,
                                                reporters& reporters_of_key,
                                                time_point now)
{
    reporter& sender = reporters_of_key[report.host];
    const bool is_same =
        sender.sequence != 0 && sender.incarnation == report.incarnation;
    if (is_same && report.sequence <= sender.sequence)
        return 0;
    const std::uint64_t previous_offered =
        is_same ? sender.offered : entry.previously_offered;
    sender.incarnation = report.incarnation;
    sender.sequence = report.sequence;
    sender.offered = entry.offered;
    sender.reported = now;
    return entry.offered > previous_offered ? entry.offered - previous_offered
                                            : 0;
}

share_aggregator::key_state& share_aggregator::state_of(share_key key)
{
    return keys_[key];
}

void share_aggregator::add_own_row(const share_layout& layout, time_point now)
{
    for (auto entry = keys_.begin(); entry != keys_.end(); ++entry)
    {
        key_state& state = entry->second;
        if (state.offered_by_hosts == state.reported ||
            layout.owner_of(entry->first) != host_)
        {
            continue;
        }
        if (!state.meter)
            state.meter.emplace(now);
        state.meter->add(
            static_cast<double>(state.offered_by_hosts - state.reported), now);
        state.reported = state.offered_by_hosts;
    }
}

std::vector<addressed_report>
share_aggregator::report_to_owners(const share_layout& layout, time_point now)
{
    std::map<std::string, usage_report> reports_by_owner;
    for (auto entry = keys_.begin(); entry != keys_.end(); ++entry)
    {
        key_state& state = entry->second;
        if (state.offered_by_hosts == state.reported ||
            now - state.reported_at < report_interval ||
            report_budget_.level(now) <= 0)
        {
            continue;
        }
        usage_report& report = reports_by_owner[layout.owner_of(entry->first)];
        report.entries.push_back({entry->first, state.offered_by_hosts,
                                  state.reported,
                                  is_demand_requested(state, now)});
        state.reported = state.offered_by_hosts;
        state.reported_at = now;
    }

    std::vector<addressed_report> reports;
    for (auto entry = reports_by_owner.begin(); entry != reports_by_owner.end();
         ++entry)
    {
        usage_report& report = entry->second;
        report.host = host_;
        report.incarnation = incarnation_;
        report.sequence = ++sequence_;
        report.from_relay = true;
        const std::size_t bytes = encoded_bytes(report) + share_transport_bytes;
        report_budget_.adjust(-static_cast<double>(bytes), now);
        reports.push_back({entry->first, std::move(report)});
    }
    return reports;
}

// ------------------------------------------------------------------------
// Responses to reporters

bool share_aggregator::is_demand_requested(const key_state& state,
                                           time_point now)
{
    return state.demand_requested_at &&
           now - *state.demand_requested_at < demand_request_lifetime;
}

void share_aggregator::collect_due(share_key key, double demand, bool to_relay,
                                   reporters& to, time_point now,
                                   std::vector<due_response>& due)
{
    for (auto entry = to.begin(); entry != to.end(); ++entry)
    {
        reporter& state = entry->second;
        const bool is_first = state.last_sent_demand < 0;
        const bool has_changed = std::abs(demand - state.last_sent_demand) >
                                 min_relative_change * state.last_sent_demand;
        const std::chrono::nanoseconds since_response =
            now - state.last_response;
        if (now - state.reported >= demand_request_lifetime ||
            !(is_first || since_response >= usual_response_interval ||
              (has_changed && since_response >= min_response_interval)))
        {
            continue;
        }
        due.push_back({&entry->first, to_relay, {key, demand}, &state});
    }
}

std::vector<addressed_response>
share_aggregator::respond_to_reporters(const share_layout& layout,
                                       time_point now)
{
    std::vector<due_response> due;
    for (auto entry = keys_.begin(); entry != keys_.end(); ++entry)
    {
        key_state& state = entry->second;
        if (!is_demand_requested(state, now))
            continue;
        if (layout.owner_of(entry->first) != host_)
        {
            if (state.owner_demand &&
                now - state.owner_demand_at < demand_request_lifetime)
            {
                collect_due(entry->first, *state.owner_demand, false,
                            state.hosts, now, due);
            }
            continue;
        }
        if (!layout.has_majority() || !state.meter ||
            state.meter->age(now) < settling_time)
        {
            continue;
        }
        const double demand = state.meter->per_second(now);
        collect_due(entry->first, demand, true, state.relays, now, due);
        collect_due(entry->first, demand, false, state.hosts, now, due);
    }
    return send_due(due, now);
}

std::vector<addressed_response>
share_aggregator::send_due(std::vector<due_response>& due, time_point now)
{
    std::sort(due.begin(), due.end(),
              [](const due_response& left, const due_response& right)
              {
                  return std::tie(*left.to, left.to_relay) <
                         std::tie(*right.to, right.to_relay);
              });
    std::vector<addressed_response> responses;
    for (const due_response& due_entry : due)
    {
        const bool is_same_receiver =
            !responses.empty() && responses.back().to == *due_entry.to &&
            responses.back().answer.to_relay == due_entry.to_relay;
        if (!is_same_receiver)
        {
            if (*due_entry.to != host_ && response_budget_.level(now) <= 0)
                continue;
            responses.push_back({*due_entry.to, {due_entry.to_relay, {}}});
        }
        demand_response& response = responses.back().answer;
        const std::size_t previous_bytes =
            is_same_receiver ? encoded_bytes(response) + share_transport_bytes
                             : 0;
        response.entries.push_back(due_entry.entry);
        due_entry.state->last_response = now;
        due_entry.state->last_sent_demand = due_entry.entry.tokens_per_second;
        if (*due_entry.to == host_)
            continue;
        const std::size_t bytes =
            encoded_bytes(response) + share_transport_bytes - previous_bytes;
        response_budget_.adjust(-static_cast<double>(bytes), now);
    }
    return responses;
}

void share_aggregator::remove_silent_reporters(time_point now)
{
    if (now - last_cleanup_ < reporter_retention)
        return;
    last_cleanup_ = now;
    const auto remove_silent = [now](reporters& all)
    {
        for (auto entry = all.begin(); entry != all.end();)
        {
            const bool is_silent =
                now - entry->second.reported >= reporter_retention;
            entry = is_silent ? all.erase(entry) : std::next(entry);
        }
    };
    for (auto entry = keys_.begin(); entry != keys_.end();)
    {
        remove_silent(entry->second.hosts);
        remove_silent(entry->second.relays);
        const bool empty =
            entry->second.hosts.empty() && entry->second.relays.empty();
        entry = empty ? keys_.erase(entry) : std::next(entry);
    }
}

} // namespace hibiscusferry
