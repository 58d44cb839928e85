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
    , answer_budget_(bytes_per_second, 2 * bytes_per_second, now)
    , swept_(now)
{
}

void share_aggregator::report(const usage_report& report, time_point now)
{
    for (const usage_entry& entry : report.entries)
    {
        key_state& state = state_of(entry.key);
        if (entry.needs_demand)
            state.asked = now;
        if (!report.from_relay)
        {
            state.offered_by_hosts += growth(report, entry, state.hosts, now);
            continue;
        }
        if (!state.meter)
            state.meter.emplace(now);
        const std::uint64_t amount = growth(report, entry, state.relays, now);
        state.meter->add(static_cast<double>(amount), now);
    }
}

void share_aggregator::answer(const demand_response& answer, time_point now)
{
    for (const demand_entry& entry : answer.entries)
    {
        const auto found = keys_.find(entry.key);
        if (found == keys_.end())
            continue;
        found->second.answered = entry.tokens_per_second;
        found->second.answered_at = now;
    }
}

share_messages share_aggregator::tick(const share_layout& layout,
                                      time_point now)
{
    forget_silent(now);
    sum_own_row(layout, now);
    return {report_up(layout, now), answer_down(layout, now)};
}

double share_aggregator::demand(share_key key, time_point now) const
{
    const auto found = keys_.find(key);
    if (found == keys_.end() || !found->second.meter)
        return 0;
    return found->second.meter->per_second(now);
}

std::size_t share_aggregator::size() const
{
    return keys_.size();
}

// ------------------------------------------------------------------------
// Up

std::uint64_t share_aggregator::growth(const usage_report& report,
                                       const usage_entry& entry,
                                       reporters& from, time_point now)
{
    reporter& known = from[report.host];
    const bool is_same =
        known.sequence != 0 && known.incarnation == report.incarnation;
    if (is_same && report.sequence <= known.sequence)
        return 0;
    const std::uint64_t base =
        is_same ? known.offered : entry.previously_offered;
    known.incarnation = report.incarnation;
    known.sequence = report.sequence;
    known.offered = entry.offered;
    known.reported = now;
    return entry.offered > base ? entry.offered - base : 0;
}

share_aggregator::key_state& share_aggregator::state_of(share_key key)
{
    return keys_[key];
}

void share_aggregator::sum_own_row(const share_layout& layout, time_point now)
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
share_aggregator::report_up(const share_layout& layout, time_point now)
{
    std::map<std::string, usage_report> by_home;
    for (auto entry = keys_.begin(); entry != keys_.end(); ++entry)
    {
        key_state& state = entry->second;
        if (state.offered_by_hosts == state.reported ||
            now - state.reported_at < report_interval ||
            report_budget_.level(now) <= 0)
        {
            continue;
        }
        usage_report& report = by_home[layout.owner_of(entry->first)];
        report.entries.push_back({entry->first, state.offered_by_hosts,
                                  state.reported, is_asked(state, now)});
        state.reported = state.offered_by_hosts;
        state.reported_at = now;
    }

    std::vector<addressed_report> reports;
    for (auto entry = by_home.begin(); entry != by_home.end(); ++entry)
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
// Down

bool share_aggregator::is_asked(const key_state& state, time_point now)
{
    return state.asked && now - *state.asked < question_lifetime;
}

void share_aggregator::collect_due(share_key key, double demand, bool to_relay,
                                   reporters& to, time_point now,
                                   std::vector<due_answer>& due)
{
    for (auto entry = to.begin(); entry != to.end(); ++entry)
    {
        reporter& state = entry->second;
        const bool first = state.answered_demand < 0;
        const bool changed = std::abs(demand - state.answered_demand) >
                             much * state.answered_demand;
        const std::chrono::nanoseconds since = now - state.answered;
        if (now - state.reported >= question_lifetime ||
            !(first || since >= usual_repeat ||
              (changed && since >= least_repeat)))
        {
            continue;
        }
        due.push_back({&entry->first, to_relay, {key, demand}, &state});
    }
}

std::vector<addressed_response>
share_aggregator::answer_down(const share_layout& layout, time_point now)
{
    std::vector<due_answer> due;
    for (auto entry = keys_.begin(); entry != keys_.end(); ++entry)
    {
        key_state& state = entry->second;
        if (!is_asked(state, now))
            continue;
        if (layout.owner_of(entry->first) != host_)
        {
            if (state.answered && now - state.answered_at < question_lifetime)
            {
                collect_due(entry->first, *state.answered, false, state.hosts,
                            now, due);
            }
            continue;
        }
        if (!layout.has_majority() || !state.meter ||
            state.meter->age(now) < settling)
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
share_aggregator::send_due(std::vector<due_answer>& due, time_point now)
{
    std::sort(due.begin(), due.end(),
              [](const due_answer& left, const due_answer& right)
              {
                  return std::tie(*left.to, left.to_relay) <
                         std::tie(*right.to, right.to_relay);
              });
    std::vector<addressed_response> answers;
    for (const due_answer& one : due)
    {
        const bool same = !answers.empty() && answers.back().to == *one.to &&
                          answers.back().answer.to_relay == one.to_relay;
        if (!same)
        {
            if (*one.to != host_ && answer_budget_.level(now) <= 0)
                continue;
            answers.push_back({*one.to, {one.to_relay, {}}});
        }
        demand_response& answer = answers.back().answer;
        const std::size_t before =
            same ? encoded_bytes(answer) + share_transport_bytes : 0;
        answer.entries.push_back(one.entry);
        one.state->answered = now;
        one.state->answered_demand = one.entry.tokens_per_second;
        if (*one.to == host_)
            continue;
        const std::size_t bytes =
            encoded_bytes(answer) + share_transport_bytes - before;
        answer_budget_.adjust(-static_cast<double>(bytes), now);
    }
    return answers;
}

void share_aggregator::forget_silent(time_point now)
{
    if (now - swept_ < forget_after)
        return;
    swept_ = now;
    const auto sweep = [now](reporters& all)
    {
        for (auto entry = all.begin(); entry != all.end();)
        {
            const bool silent = now - entry->second.reported >= forget_after;
            entry = silent ? all.erase(entry) : std::next(entry);
        }
    };
    for (auto entry = keys_.begin(); entry != keys_.end();)
    {
        sweep(entry->second.hosts);
        sweep(entry->second.relays);
        const bool empty =
            entry->second.hosts.empty() && entry->second.relays.empty();
        entry = empty ? keys_.erase(entry) : std::next(entry);
    }
}

} // namespace hibiscusferry
