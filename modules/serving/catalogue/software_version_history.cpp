#include "serving/catalogue/software_version_history.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Versions of a service that are remembered after their last target; a limit
    of memory only. */
constexpr std::size_t max_versions = 64;

} // namespace

software_version_history::software_version_history(
    std::chrono::milliseconds max_list_age)
    : max_list_age_(max_list_age)
{
}

void software_version_history::apply(const target_change& change,
                                     time_point now)
{
    const target_record& record = change.record;
    remove(record.id, now);
    if (change.type == target_change::kind::removed)
        return;
    std::map<std::string, version_usage>& versions = usages_[record.service];
    versions[record.software_version].targets.insert(record.id);
    keys_by_target_[record.id] = {record.service, record.software_version};
    if (versions.size() <= max_versions)
        return;
    // The observation starts anew, as a version is forgotten.
    observed_since_ = now;
    for (auto entry = versions.begin(); entry != versions.end();)
        entry = entry->second.targets.empty() ? versions.erase(entry)
                                              : std::next(entry);
}

void software_version_history::confirm_list(time_point as_of)
{
    if (!observed_since_ || as_of > list_confirmed_at_ + max_list_age_)
        observed_since_ = as_of;
    list_confirmed_at_ = std::max(list_confirmed_at_, as_of);
}

void software_version_history::restart_observation()
{
    observed_since_.reset();
    list_confirmed_at_ = {};
}

std::optional<time_point> software_version_history::list_confirmed_at() const
{
    return observed_since_ ? std::optional(list_confirmed_at_) : std::nullopt;
}

std::optional<std::string> software_version_history::only_version(
    const std::string& service, std::chrono::milliseconds stream_duration,
    time_point begun_by) const
{
    return list_confirmed_at_ >= begun_by
               ? expected_version(service, stream_duration, begun_by)
               : std::nullopt;
}

std::optional<std::string> software_version_history::expected_version(
    const std::string& service, std::chrono::milliseconds stream_duration,
    time_point begun_by) const
{
    const time_point begin = begun_by - stream_duration - max_list_age_;
    // After a longer gap the observation starts anew.
    const bool is_observed = observed_since_ && *observed_since_ <= begin &&
                             begun_by <= list_confirmed_at_ + max_list_age_;
    const auto versions = usages_.find(service);
    if (!is_observed || versions == usages_.end())
        return std::nullopt;
    std::optional<std::string> only_version;
    for (const auto& [version, usage] : versions->second)
    {
        const bool is_in_use = !usage.targets.empty();
        if (!is_in_use && usage.last_used_at < begin)
            continue;
        if (!is_in_use || only_version)
            return std::nullopt;
        only_version = version;
    }
    return only_version;
}

void software_version_history::remove(const std::string& id, time_point now)
{
    const auto key = keys_by_target_.find(id);
    if (key == keys_by_target_.end())
        return;
    version_usage& usage = usages_[key->second.service][key->second.version];
    usage.targets.erase(id);
    usage.last_used_at = now;
    keys_by_target_.erase(key);
}

} // namespace hibiscusferry
