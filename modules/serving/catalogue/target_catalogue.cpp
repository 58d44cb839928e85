#include "serving/catalogue/target_catalogue.hpp"

namespace hibiscusferry
{

target_catalogue::target_catalogue(std::chrono::milliseconds outage_grace)
    : outage_grace_(outage_grace)
{
}

std::vector<target_change> target_catalogue::put(const target_record& record)
{
    missing_until_.erase(record.id);
    const auto known = targets_.find(record.id);
    if (known == targets_.end())
    {
        targets_.emplace(record.id, record);
        const target_change::kind what = record.is_draining
                                             ? target_change::kind::leaving
                                             : target_change::kind::joined;
        return {{what, record}};
    }

    const target_record before = known->second;
    const bool is_same_life = before.started_at == record.started_at;
    known->second = record;
    if (!is_same_life)
        return {{target_change::kind::restarted, record}};
    if (before.is_draining)
        known->second.is_draining = true;
    if (known->second.is_draining && !before.is_draining)
        return {{target_change::kind::leaving, known->second}};
    const bool is_changed = before.stage != record.stage ||
                            before.slots != record.slots ||
                            before.service != record.service ||
                            before.endpoint.text() != record.endpoint.text();
    if (!is_changed)
        return {};
    return {{target_change::kind::updated, known->second}};
}

std::vector<target_change> target_catalogue::remove(const std::string& id,
                                                    time_point now)
{
    std::vector<target_change> changes;
    if (targets_.find(id) == targets_.end())
        return changes;
    const bool is_after_outage =
        is_store_lost_ || (returned_at_ && now < *returned_at_ + outage_grace_);
    if (!is_after_outage)
    {
        drop(id, changes);
        return changes;
    }
    const time_point until =
        (returned_at_ && !is_store_lost_ ? *returned_at_ : now) + outage_grace_;
    missing_until_.emplace(id, until);
    return changes;
}

std::vector<target_change>
target_catalogue::mark_unreadable(const std::string& id, time_point now)
{
    return remove(id, now);
}

std::vector<target_change>
target_catalogue::replace_all(const std::vector<target_record>& records,
                              time_point now)
{
    std::vector<target_change> changes;
    std::map<std::string, bool> listed;
    for (const target_record& record : records)
    {
        listed[record.id] = true;
        const std::vector<target_change> some = put(record);
        changes.insert(changes.end(), some.begin(), some.end());
    }
    std::vector<std::string> missing;
    for (const auto& [id, record] : targets_)
    {
        if (listed.find(id) == listed.end())
            missing.push_back(id);
    }
    for (const std::string& id : missing)
    {
        const std::vector<target_change> some = remove(id, now);
        changes.insert(changes.end(), some.begin(), some.end());
    }
    return changes;
}

void target_catalogue::store_recovered(time_point now)
{
    if (!is_store_lost_)
        return;
    is_store_lost_ = false;
    returned_at_ = now;
    for (auto& [id, until] : missing_until_)
        until = now + outage_grace_;
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
    for (auto entry = missing_until_.begin(); entry != missing_until_.end();)
    {
        if (now < entry->second)
        {
            ++entry;
            continue;
        }
        const std::string id = entry->first;
        entry = missing_until_.erase(entry);
        drop(id, changes);
    }
    return changes;
}

const std::map<std::string, target_record>& target_catalogue::targets() const
{
    return targets_;
}

void target_catalogue::drop(const std::string& id,
                            std::vector<target_change>& changes)
{
    const auto known = targets_.find(id);
    if (known == targets_.end())
        return;
    changes.push_back({target_change::kind::left, known->second});
    targets_.erase(known);
}

} // namespace hibiscusferry
