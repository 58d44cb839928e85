#include "serving/catalogue/target_catalogue.hpp"

namespace hibiscusferry
{

namespace
{

/** Departed targets that are remembered, several times those of a fleet. */
constexpr std::size_t max_departed_targets = 4096;

} // namespace

target_catalogue::target_catalogue(
    std::chrono::milliseconds outage_grace_period)
    : outage_grace_period_(outage_grace_period)
{
}

std::vector<target_change> target_catalogue::put(const target_record& record)
{
    removal_times_.erase(record.id);
    const auto target = targets_.find(record.id);
    if (target == targets_.end())
    {
        target_record joined = record;
        const auto departed = departed_.find(record.id);
        if (departed != departed_.end() &&
            departed->second == record.started_at)
            joined.is_draining = true;
        targets_.emplace(record.id, joined);
        const target_change::kind type = joined.is_draining
                                             ? target_change::kind::draining
                                             : target_change::kind::joined;
        return {{type, joined}};
    }

    const target_record previous = target->second;
    const bool is_same_incarnation = previous.started_at == record.started_at;
    target->second = record;
    if (!is_same_incarnation)
        return {{target_change::kind::restarted, record}};
    if (previous.is_draining)
        target->second.is_draining = true;
    if (target->second.is_draining && !previous.is_draining)
        return {{target_change::kind::draining, target->second}};
    const bool is_changed =
        previous.stage != record.stage ||
        previous.software_version != record.software_version ||
        previous.slots != record.slots || previous.service != record.service ||
        previous.endpoint.text() != record.endpoint.text();
    if (!is_changed)
        return {};
    return {{target_change::kind::updated, target->second}};
}

std::vector<target_change>
target_catalogue::mark_leaving(const std::string& id,
                               std::chrono::milliseconds started_at)
{
    const auto target = targets_.find(id);
    const bool is_new = target != targets_.end() &&
                        target->second.started_at == started_at &&
                        !target->second.is_draining;
    if (!is_new)
        return {};
    target->second.is_draining = true;
    return {{target_change::kind::draining, target->second}};
}

std::vector<target_change> target_catalogue::remove(const std::string& id,
                                                    time_point now)
{
    std::vector<target_change> changes;
    if (targets_.find(id) == targets_.end())
        return changes;
    const bool is_outage_affected =
        is_store_lost_ || (store_recovered_at_ &&
                           now < *store_recovered_at_ + outage_grace_period_);
    if (!is_outage_affected)
    {
        erase_target(id, changes);
        return changes;
    }
    const time_point removal_time =
        (store_recovered_at_ && !is_store_lost_ ? *store_recovered_at_ : now) +
        outage_grace_period_;
    removal_times_.emplace(id, removal_time);
    return changes;
}

std::vector<target_change>
target_catalogue::mark_unreadable(const std::string& id)
{
    std::vector<target_change> changes;
    removal_times_.erase(id);
    erase_target(id, changes);
    return changes;
}

std::vector<target_change>
target_catalogue::replace_all(const std::vector<target_record>& records,
                              time_point now)
{
    std::vector<target_change> changes;
    std::map<std::string, bool> listed_ids;
    for (const target_record& record : records)
    {
        listed_ids[record.id] = true;
        const std::vector<target_change> record_changes = put(record);
        changes.insert(changes.end(), record_changes.begin(),
                       record_changes.end());
    }
    std::vector<std::string> missing_ids;
    for (const auto& [id, record] : targets_)
    {
        if (listed_ids.find(id) == listed_ids.end())
            missing_ids.push_back(id);
    }
    for (const std::string& id : missing_ids)
    {
        const std::vector<target_change> record_changes = remove(id, now);
        changes.insert(changes.end(), record_changes.begin(),
                       record_changes.end());
    }
    return changes;
}

void target_catalogue::store_recovered(time_point now)
{
    if (!is_store_lost_)
        return;
    is_store_lost_ = false;
    store_recovered_at_ = now;
    for (auto& [id, removal_time] : removal_times_)
        removal_time = now + outage_grace_period_;
}

void target_catalogue::store_lost()
{
    is_store_lost_ = true;
}

std::vector<target_change> target_catalogue::tick(time_point now)
{
    std::vector<target_change> changes;
    if (is_store_lost_)
        return changes;
    for (auto entry = removal_times_.begin(); entry != removal_times_.end();)
    {
        if (now < entry->second)
        {
            ++entry;
            continue;
        }
        const std::string id = entry->first;
        entry = removal_times_.erase(entry);
        erase_target(id, changes);
    }
    return changes;
}

const std::map<std::string, target_record>& target_catalogue::targets() const
{
    return targets_;
}

void target_catalogue::erase_target(const std::string& id,
                                    std::vector<target_change>& changes)
{
    const auto target = targets_.find(id);
    if (target == targets_.end())
        return;
    changes.push_back({target_change::kind::removed, target->second});
    if (target->second.is_draining)
    {
        if (departed_.insert_or_assign(id, target->second.started_at).second)
            departed_ids_.push_back(id);
        if (departed_ids_.size() > max_departed_targets)
        {
            departed_.erase(departed_ids_.front());
            departed_ids_.pop_front();
        }
    }
    targets_.erase(target);
}

} // namespace hibiscusferry
