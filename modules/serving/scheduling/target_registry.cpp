#include "serving/scheduling/target_registry.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Tokens of shared parts that this host remembers of an engine; somewhat
    less than today's smallest engine keeps beside its running requests. */
constexpr double remembered_tokens = 500000;

/** Within this time most documents in use are asked for again. */
constexpr std::chrono::seconds settling_time{8};

/** What others told this long ago is no help any more; they tell at least
    twice in that time. */
constexpr std::chrono::milliseconds oldest_told_load{800};

/** One host alone may have lost its own way to a target. */
constexpr double hosts_to_be_believed = 2;

} // namespace

target_view::target_view(const target_record& described)
    : record(described)
    , key(key_of_target(described.id))
    , cached_prefixes(remembered_tokens)
    , is_withdrawn(described.is_draining)
{
}

bool target_view::is_available(time_point now) const
{
    return !is_withdrawn && now >= stage_change_until && now >= refuses_until &&
           health.is_usable(now) && !is_avoided_by_others(now);
}

bool target_view::is_avoided_by_others(time_point now) const
{
    const bool is_told = remote_load_received_at &&
                         now - *remote_load_received_at <= oldest_told_load;
    if (!is_told)
        return false;
    if (remote_load.hosts_changing_stage > 0)
        return true;
    return remote_load.hosts_suspecting >= hosts_to_be_believed &&
           !health.has_answered_lately(now);
}

double target_view::expected_delay_ms(const observed_delay& stage,
                                      time_point now) const
{
    return delay.expected_ms(stage, remote_load.exchanges,
                             remote_load.delays_ms, now);
}

target_role target_view::coming_stage(time_point now) const
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
    const bool is_told =
        target.remote_load_received_at &&
        now - *target.remote_load_received_at <= oldest_told_load;
    if (is_told)
    {
        load += target.remote_load;
        return load;
    }
    const double others = std::max(static_cast<double>(live_hosts) - 1, 0.0);
    load += {others * target.requests.mean(now),
             others * target.pending_prefill_tokens.mean(now),
             others * target.kv_tokens.mean(now),
             0,
             0,
             0};
    return load;
}

target_load_guard::target_load_guard(std::shared_ptr<target_view> target,
                                     double pending_prefill_tokens,
                                     double kv_tokens, const clock& time)
    : target_(std::move(target))
    , pending_prefill_tokens_(pending_prefill_tokens)
    , kv_tokens_(kv_tokens)
    , time_(time)
{
    const time_point now = time_.now();
    target_->requests.add(1, now);
    target_->pending_prefill_tokens.add(pending_prefill_tokens_, now);
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
    target_->pending_prefill_tokens.add(-pending_prefill_tokens_, time_.now());
    pending_prefill_tokens_ = 0;
}

void target_registry::apply(const target_change& change, bool is_first_look,
                            time_point now)
{
    const time_point settles_at = is_first_look ? now : now + settling_time;
    const target_record& record = change.record;
    if (change.what == target_change::kind::left ||
        change.what == target_change::kind::restarted)
        remove(record.id);
    if (change.what == target_change::kind::left)
        return;

    const std::shared_ptr<target_view> known = find(record.id);
    if (!known)
    {
        const std::shared_ptr<target_view> added =
            std::make_shared<target_view>(record);
        added->settles_at = settles_at;
        by_id_[record.id] = added;
        services_[record.service].push_back(added);
        return;
    }
    if (known->record.service != record.service)
    {
        remove(record.id);
        apply({target_change::kind::joined, record}, is_first_look, now);
        return;
    }
    if (known->record.stage != record.stage)
    {
        known->stage_change_until = {};
        known->ordered_stage.reset();
        known->settles_at = settles_at;
    }
    known->record = record;
    known->is_withdrawn = record.is_draining;
}

const std::vector<std::shared_ptr<target_view>>&
target_registry::targets_for_service(const std::string& service) const
{
    static const std::vector<std::shared_ptr<target_view>> none;
    const auto found = services_.find(service);
    return found == services_.end() ? none : found->second;
}

const std::map<std::string, std::shared_ptr<target_view>>&
target_registry::targets() const
{
    return by_id_;
}

std::shared_ptr<target_view> target_registry::find(const std::string& id) const
{
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? nullptr : found->second;
}

void target_registry::remove(const std::string& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return;
    // Requests that wait for a place may still hold the view.
    found->second->is_withdrawn = true;
    std::vector<std::shared_ptr<target_view>>& targets =
        services_[found->second->record.service];
    targets.erase(std::remove(targets.begin(), targets.end(), found->second),
                  targets.end());
    by_id_.erase(found);
}

} // namespace hibiscusferry
