#include "routing/targets/target_table.hpp"

#include <algorithm>
#include <iterator>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t max_new_targets_per_poll = 32;

} // namespace

target_table::target_table(std::string router_id,
                           const target_table_settings& settings)
    : router_id_(std::move(router_id))
    , settings_(settings)
{
}

// ========================================================================
// The host list

std::vector<std::string>
target_table::set_targets(const std::vector<std::string>& routers,
                          const std::vector<target_address>& targets,
                          time_point now)
{
    if (is_missing_role(now))
        ++further_cells_;
    const std::vector<std::size_t> subset = choose_target_subset(
        routers, router_id_, targets, further_cells_, settings_.subset);

    std::vector<target_entry> updated;
    updated.reserve(subset.size());
    for (const std::size_t index : subset)
        updated.push_back(update_entry(targets[index], now));
    std::vector<std::string> dropped = retain_busy_targets(updated);
    targets_ = std::move(updated);
    index_targets();
    return dropped;
}

target_entry target_table::update_entry(const target_address& address,
                                        time_point now)
{
    target_entry entry;
    target_entry* const existing = find_entry(address.id);
    if (existing != nullptr)
    {
        entry = std::move(*existing);
        // An empty id marks an entry that has been moved from.
        existing->address.id.clear();
    }
    else
    {
        entry.hash = stable_hash(address.id);
        entry.next_report = now;
    }
    entry.address = address;
    entry.delisted = false;
    if (address.leaving)
        entry.state = target_state::leaving;
    return entry;
}

std::vector<std::string>
target_table::retain_busy_targets(std::vector<target_entry>& updated)
{
    std::vector<std::string> dropped;
    for (target_entry& entry : targets_)
    {
        if (entry.address.id.empty())
            continue;
        dropped.push_back(entry.address.id);
        if (entry.in_flight.size() == 0)
            continue;
        entry.delisted = true;
        updated.push_back(std::move(entry));
    }
    return dropped;
}

void target_table::index_targets()
{
    indexes_.clear();
    for (std::size_t index = 0; index < targets_.size(); ++index)
        indexes_.emplace(targets_[index].address.id, index);
}

// ========================================================================
// Reports

void target_table::report(const std::string& target, const load_report& report,
                          time_point requested_at, time_point now)
{
    target_entry* const entry = find_entry(target);
    const time_point measured_at = requested_at - report.age;
    if (entry == nullptr ||
        (entry->measured_at && measured_at < *entry->measured_at))
    {
        return;
    }
    entry->measured_at = measured_at;
    entry->next_report = now + settings_.report_interval;
    entry->role = report.role;
    if (entry->state != target_state::leaving)
        entry->state = report.state;
    entry->health = target_health::healthy;
    entry->failures = 0;
    entry->free_kv_tokens = report.free_kv_tokens;
    entry->reported_load = {static_cast<double>(report.waiting_prefill_tokens),
                            static_cast<double>(report.active_streams)};
    entry->in_flight.reported(measured_at);
    update_load(*entry);
}

std::vector<std::string> target_table::targets_due_for_poll(time_point now)
{
    refill_poll_budget(now);
    std::vector<target_entry*> due;
    for (target_entry& entry : targets_)
    {
        const bool is_quarantined = entry.health == target_health::quarantined;
        if (!entry.delisted &&
            now >= (is_quarantined ? entry.probe_at : entry.next_report))
        {
            due.push_back(&entry);
        }
    }
    std::sort(due.begin(), due.end(),
              [](const target_entry* left, const target_entry* right)
              { return left->next_report < right->next_report; });

    std::vector<std::string> ids;
    for (target_entry*& entry : due)
    {
        if (entry->polled || ids.size() >= max_new_targets_per_poll)
            continue;
        mark_polled(*entry, now, ids);
        entry = nullptr;
    }
    for (target_entry* const entry : due)
    {
        if (entry == nullptr)
            continue;
        if (poll_budget_ < 1)
            break;
        poll_budget_ -= 1;
        mark_polled(*entry, now, ids);
    }
    return ids;
}

void target_table::mark_polled(target_entry& entry, time_point now,
                               std::vector<std::string>& ids)
{
    entry.polled = true;
    entry.next_report = now + settings_.report_interval;
    entry.probe_at = now + settings_.max_probe_delay;
    ids.push_back(entry.address.id);
}

void target_table::refill_poll_budget(time_point now)
{
    const std::chrono::duration<double> elapsed = now - budget_updated_at_;
    const double max_budget = std::max(1.0, settings_.reports_per_second);
    poll_budget_ =
        std::min(max_budget,
                 poll_budget_ + elapsed.count() * settings_.reports_per_second);
    budget_updated_at_ = now;
}

void target_table::poll_soon(const std::string& target, time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry != nullptr)
        entry->next_report = std::min(entry->next_report, now);
}

void target_table::refused(const std::string& target, target_state state,
                           time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr || entry->state == target_state::leaving)
        return;
    entry->state = state;
    entry->refused_until = now + settings_.refusal_backoff;
}

// ========================================================================
// Attempts

void target_table::attempt_started(const std::string& target,
                                   const std::string& attempt,
                                   double prefill_tokens, time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr)
        return;
    entry->in_flight.started(attempt, prefill_tokens, now);
    update_load(*entry);
}

void target_table::attempt_prefilled(const std::string& target,
                                     const std::string& attempt, time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr)
        return;
    entry->in_flight.prefilled(attempt, now);
    update_load(*entry);
}

void target_table::attempt_ended(const std::string& target,
                                 const std::string& attempt, time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr)
        return;
    entry->in_flight.ended(attempt, now);
    update_load(*entry);
}

void target_table::attempt_succeeded(const std::string& target)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr)
        return;
    entry->health = target_health::healthy;
    entry->failures = 0;
}

bool target_table::attempt_failed(const std::string& target, time_point now)
{
    target_entry* const entry = find_entry(target);
    if (entry == nullptr)
        return false;
    ++entry->failures;
    if (entry->failures < settings_.max_consecutive_failures)
    {
        entry->health = target_health::suspect;
        // A probe detects a recovery or failure sooner than the next request.
        entry->next_report = now;
        return false;
    }
    const bool is_new = entry->health != target_health::quarantined;
    entry->health = target_health::quarantined;
    std::chrono::milliseconds delay = settings_.initial_probe_delay;
    for (std::uint32_t failure = settings_.max_consecutive_failures;
         failure < entry->failures && delay < settings_.max_probe_delay;
         ++failure)
    {
        delay *= 2;
    }
    entry->probe_at = now + std::min(delay, settings_.max_probe_delay);
    return is_new;
}

// ========================================================================
// Queries

bool target_table::can_take_work(const target_entry& entry,
                                 time_point now) const
{
    return !entry.delisted && entry.state == target_state::serving &&
           entry.health != target_health::quarantined &&
           now >= entry.refused_until &&
           entry.in_flight.size() < settings_.target_concurrency;
}

bool target_table::is_missing_role(time_point) const
{
    if (targets_.empty())
        return false;
    bool can_prefill = false;
    bool can_decode = false;
    for (const target_entry& entry : targets_)
    {
        if (entry.delisted || entry.state != target_state::serving ||
            entry.health == target_health::quarantined)
        {
            continue;
        }
        can_prefill = can_prefill || entry.role != target_role::decode;
        can_decode = can_decode || entry.role != target_role::prefill;
    }
    return !can_prefill || !can_decode;
}

const std::vector<target_entry>& target_table::targets() const
{
    return targets_;
}

const target_entry* target_table::find(const std::string& target) const
{
    const auto position = indexes_.find(target);
    return position == indexes_.end() ? nullptr : &targets_[position->second];
}

target_entry* target_table::find_entry(const std::string& target)
{
    const auto position = indexes_.find(target);
    return position == indexes_.end() ? nullptr : &targets_[position->second];
}

std::size_t target_table::in_flight(const std::string& target) const
{
    const target_entry* const entry = find(target);
    return entry == nullptr ? 0 : entry->in_flight.size();
}

const target_table_settings& target_table::settings() const
{
    return settings_;
}

void target_table::update_load(target_entry& entry)
{
    const target_load& correction = entry.in_flight.correction();
    entry.load.prefill_tokens = std::max(
        0.0, entry.reported_load.prefill_tokens + correction.prefill_tokens);
    entry.load.streams =
        std::max(0.0, entry.reported_load.streams + correction.streams);
}

} // namespace hibiscusferry
