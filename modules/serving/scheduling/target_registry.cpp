#include "serving/scheduling/target_registry.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Time within which most documents in use are requested again. */
constexpr std::chrono::seconds cache_warm_up_time{8};

/** Maximum age of a load report from other hosts; they report at least twice
    in this time. */
constexpr std::chrono::milliseconds max_remote_load_age{800};

/** Number of hosts that must suspect a target. A single host may have lost
    only its own connection to the target. */
constexpr double min_suspecting_hosts = 2;

} // namespace

target_view::target_view(const target_record& initial_record)
    : record(initial_record)
    , key(key_of_target(initial_record.id))
    , incarnation(
          key_of_incarnation(initial_record.id, initial_record.started_at))
    , is_withdrawn(initial_record.is_draining)
{
}

void target_view::record_load(const reported_load& report)
{
    load = report;
    if (report.slowness)
        slowness.add(*report.slowness, report.received_at);
}

bool target_view::is_available(time_point now) const
{
    return !is_withdrawn && now >= stage_change_until && now >= refuses_until &&
           health.is_usable(now) && !is_reported_unavailable(now);
}

bool target_view::is_reported_unavailable(time_point now) const
{
    const bool has_remote_load =
        remote_load_received_at &&
        now - *remote_load_received_at <= max_remote_load_age;
    if (!has_remote_load)
        return false;
    if (remote_load.hosts_changing_stage > 0)
        return true;
    return remote_load.hosts_suspecting >= min_suspecting_hosts &&
           !health.has_responded_recently(now);
}

double target_view::expected_delay_ms(const observed_delay& stage,
                                      time_point now) const
{
    return delay.expected_ms(stage, remote_load.exchanges,
                             remote_load.delays_ms, now);
}

target_role target_view::upcoming_stage(time_point now) const
{
    return ordered_stage && now < stage_change_until ? *ordered_stage
                                                     : record.stage;
}

in_flight_load expected_load(const target_view& target, std::size_t live_hosts,
                             time_point now)
{
    in_flight_load load{target.requests.level(),
                        target.pending_prefill_tokens.level(),
                        target.kv_tokens.level(),
                        0,
                        0,
                        0};
    for (std::size_t rank = 0; rank < urgent_rank_count; ++rank)
        load.urgent_prefill_tokens[rank] =
            target.urgent_prefill_tokens[rank].level();
    const bool has_remote_load =
        target.remote_load_received_at &&
        now - *target.remote_load_received_at <= max_remote_load_age;
    if (has_remote_load)
    {
        load += target.remote_load;
        return load;
    }
    const double other_hosts =
        std::max(static_cast<double>(live_hosts) - 1, 0.0);
    load += {other_hosts * target.requests.mean(now),
             other_hosts * target.pending_prefill_tokens.mean(now),
             other_hosts * target.kv_tokens.mean(now),
             0,
             0,
             0};
    for (std::size_t rank = 0; rank < urgent_rank_count; ++rank)
        load.urgent_prefill_tokens[rank] +=
            other_hosts * target.urgent_prefill_tokens[rank].mean(now);
    return load;
}

std::optional<time_point>
earliest_refusal_end(const std::vector<std::shared_ptr<target_view>>& targets,
                     time_point now)
{
    std::optional<time_point> earliest;
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (target->is_available(now))
            return std::nullopt;
        const bool is_refusing =
            !target->is_withdrawn && now < target->refuses_until;
        if (is_refusing && (!earliest || target->refuses_until < *earliest))
            earliest = target->refuses_until;
    }
    return earliest;
}

target_load_guard::target_load_guard(std::shared_ptr<target_view> target,
                                     double pending_prefill_tokens,
                                     double kv_tokens, const clock& time,
                                     unsigned rank)
    : target_(std::move(target))
    , pending_prefill_tokens_(pending_prefill_tokens)
    , rank_(rank)
    , kv_tokens_(kv_tokens)
    , time_(time)
{
    const time_point now = time_.now();
    target_->requests.add(1, now);
    add_pending_tokens(pending_prefill_tokens_, now);
    target_->kv_tokens.add(kv_tokens_, now);
}

target_load_guard::~target_load_guard()
{
    prefill_finished();
    const time_point now = time_.now();
    target_->requests.add(-1, now);
    target_->kv_tokens.add(-kv_tokens_, now);
}

void target_load_guard::prefill_finished()
{
    add_pending_tokens(-pending_prefill_tokens_, time_.now());
    pending_prefill_tokens_ = 0;
}

void target_load_guard::add_pending_tokens(double tokens, time_point now)
{
    target_->pending_prefill_tokens.add(tokens, now);
    for (std::size_t rank = rank_; rank < urgent_rank_count; ++rank)
        target_->urgent_prefill_tokens[rank].add(tokens, now);
}

void target_registry::apply(const target_change& change,
                            bool is_initial_snapshot, time_point now)
{
    const time_point cache_warm_at =
        is_initial_snapshot ? now : now + cache_warm_up_time;
    const target_record& record = change.record;
    if (change.type == target_change::kind::removed ||
        change.type == target_change::kind::restarted)
        remove(record.id);
    if (change.type == target_change::kind::removed)
        return;

    const std::shared_ptr<target_view> existing_target = find(record.id);
    if (!existing_target)
    {
        const std::shared_ptr<target_view> new_target =
            std::make_shared<target_view>(record);
        new_target->cache_warm_at = cache_warm_at;
        std::shared_ptr<slowness_variation>& variation =
            slowness_variations_[record.service];
        if (!variation)
            variation = std::make_shared<slowness_variation>();
        new_target->slowness = target_slowness(variation);
        by_id_[record.id] = new_target;
        services_[record.service].push_back(new_target);
        return;
    }
    if (existing_target->record.service != record.service)
    {
        remove(record.id);
        apply({target_change::kind::joined, record}, is_initial_snapshot, now);
        return;
    }
    if (existing_target->record.stage != record.stage)
    {
        existing_target->stage_change_until = {};
        existing_target->ordered_stage.reset();
        existing_target->cache_warm_at = cache_warm_at;
    }
    existing_target->record = record;
    existing_target->is_withdrawn = record.is_draining;
}

const std::vector<std::shared_ptr<target_view>>&
target_registry::targets_for_service(const std::string& service) const
{
    static const std::vector<std::shared_ptr<target_view>> empty;
    const auto entry = services_.find(service);
    return entry == services_.end() ? empty : entry->second;
}

const std::map<std::string, std::shared_ptr<target_view>>&
target_registry::targets() const
{
    return by_id_;
}

std::shared_ptr<target_view> target_registry::find(const std::string& id) const
{
    const auto entry = by_id_.find(id);
    return entry == by_id_.end() ? nullptr : entry->second;
}

void target_registry::remove(const std::string& id)
{
    const auto entry = by_id_.find(id);
    if (entry == by_id_.end())
        return;
    // Requests waiting to be scheduled may still hold a pointer to the target.
    entry->second->is_withdrawn = true;
    std::vector<std::shared_ptr<target_view>>& targets =
        services_[entry->second->record.service];
    targets.erase(std::remove(targets.begin(), targets.end(), entry->second),
                  targets.end());
    by_id_.erase(entry);
}

} // namespace hibiscusferry
