#include "sharing/crashes/crash_evidence.hpp"

#include <algorithm>
#include <functional>

namespace hibiscusferry
{

namespace
{

/** Crashes within this time of each other are counted once. */
constexpr std::chrono::milliseconds episode_duration{400};

/** Number of separate episodes, or of crashed targets, from which on a block is
    suspected. */
constexpr std::size_t min_episodes = 3;
constexpr std::size_t min_crashes = 5;

/** Time from the last crash to the first probe: a target that was not affected
    completes a generation within this time. */
constexpr std::chrono::milliseconds first_probe_delay{1000};

/** A failed probe costs a target and all its streams, so the next one is much
    later, and each further one twice as late. */
constexpr std::chrono::minutes probe_backoff{5};
constexpr unsigned max_doublings = 3;

/** How long a record is kept after its last change, or after the next probe
    would have been due. */
constexpr std::chrono::minutes record_lifetime{10};
/** How long the record of a block is kept after a completion. Other hosts may
    still report the crashes before it. */
constexpr std::chrono::seconds cleared_record_lifetime{30};

std::uint64_t hash_record(block_key block, const block_record& record)
{
    std::uint64_t hash = combine_hashes(block, record.uncleared_probes());
    for (const auto& [target, seen_at] : record.crashes)
    {
        if (seen_at > record.cleared_at)
            hash ^= combine_hashes(block, target);
    }
    return hash;
}

} // namespace

// ========================================================================
// block_record

bool block_record::add_crash(incarnation_key target, time_point seen_at)
{
    const auto [entry, is_new] = crashes.emplace(target, seen_at);
    entry->second = std::min(entry->second, seen_at);
    if (crashes.size() <= max_crashes)
        return is_new;
    const auto oldest =
        std::min_element(crashes.begin(), crashes.end(),
                         [](const auto& left, const auto& right)
                         { return left.second < right.second; });
    const bool is_dropped = oldest == entry;
    crashes.erase(oldest);
    return is_new && !is_dropped;
}

bool block_record::merge(const block_record& other)
{
    bool is_changed = false;
    for (const auto& [target, seen_at] : other.crashes)
        is_changed = add_crash(target, seen_at) || is_changed;
    const std::size_t uncleared_before = uncleared_crashes().size();
    cleared_at = std::max(cleared_at, other.cleared_at);
    is_changed = is_changed || uncleared_crashes().size() != uncleared_before;
    const unsigned probes_before = uncleared_probes();
    failed_probes = std::max(probes_before, other.uncleared_probes());
    last_probe_failed_at =
        std::max(last_probe_failed_at, other.last_probe_failed_at);
    return is_changed || uncleared_probes() != probes_before;
}

std::vector<time_point> block_record::uncleared_crashes() const
{
    std::vector<time_point> times;
    for (const auto& [target, seen_at] : crashes)
    {
        if (seen_at > cleared_at)
            times.push_back(seen_at);
    }
    std::sort(times.begin(), times.end());
    return times;
}

unsigned block_record::uncleared_probes() const
{
    return last_probe_failed_at > cleared_at ? failed_probes : 0;
}

time_point block_record::last_change() const
{
    time_point last = std::max(cleared_at, last_probe_failed_at);
    for (const auto& [target, seen_at] : crashes)
        last = std::max(last, seen_at);
    return last;
}

// ========================================================================
// crash_evidence

void crash_evidence::record_crash(incarnation_key target,
                                  const std::vector<block_key>& blocks,
                                  bool was_probe, time_point now)
{
    for (const block_key block : blocks)
    {
        block_record& record = records_[block];
        record.add_crash(target, now);
        if (!was_probe)
            continue;
        record.failed_probes = record.uncleared_probes() + 1;
        record.last_probe_failed_at = now;
    }
    limit_size();
}

bool crash_evidence::record_completion(const std::vector<block_key>& blocks,
                                       time_point now)
{
    bool is_changed = false;
    for (const block_key block : blocks)
    {
        const auto entry = records_.find(block);
        if (entry == records_.end())
            continue;
        is_changed = is_changed || !entry->second.uncleared_crashes().empty();
        entry->second.cleared_at = std::max(entry->second.cleared_at, now);
    }
    return is_changed;
}

bool crash_evidence::merge(block_key block, const block_record& other,
                           time_point now)
{
    if (is_expired(other, now))
        return false;
    const bool is_changed = records_[block].merge(other);
    limit_size();
    return is_changed;
}

bool crash_evidence::is_suspected(block_key block, time_point now) const
{
    const block_record* const record = find(block);
    if (record == nullptr || is_expired(*record, now))
        return false;
    const std::vector<time_point> crashes = record->uncleared_crashes();
    std::size_t episodes = 0;
    time_point episode_start{};
    for (const time_point seen_at : crashes)
    {
        if (episodes > 0 && seen_at - episode_start < episode_duration)
            continue;
        ++episodes;
        episode_start = seen_at;
    }
    return episodes >= min_episodes || crashes.size() >= min_crashes;
}

bool crash_evidence::is_probe_due(block_key block, time_point now) const
{
    const block_record* const record = find(block);
    return record != nullptr && now >= next_probe_at(*record);
}

const block_record* crash_evidence::find(block_key block) const
{
    const auto entry = records_.find(block);
    return entry == records_.end() ? nullptr : &entry->second;
}

const std::map<block_key, block_record>& crash_evidence::records() const
{
    return records_;
}

std::uint64_t crash_evidence::digest() const
{
    std::uint64_t digest = 0;
    for (const auto& [block, record] : records_)
    {
        if (!record.uncleared_crashes().empty())
            digest ^= hash_record(block, record);
    }
    return digest;
}

void crash_evidence::remove_expired(time_point now)
{
    for (auto entry = records_.begin(); entry != records_.end();)
    {
        if (is_expired(entry->second, now))
            entry = records_.erase(entry);
        else
            ++entry;
    }
}

bool crash_evidence::is_expired(const block_record& record, time_point now)
{
    if (record.uncleared_crashes().empty())
        return now - record.last_change() > cleared_record_lifetime;
    return now - std::max(record.last_change(), next_probe_at(record)) >
           record_lifetime;
}

time_point crash_evidence::next_probe_at(const block_record& record)
{
    const unsigned failed_probes = record.uncleared_probes();
    if (failed_probes == 0)
        return record.last_change() + first_probe_delay;
    return record.last_probe_failed_at +
           probe_backoff * (1U << std::min(failed_probes - 1, max_doublings));
}

void crash_evidence::limit_size()
{
    while (records_.size() > max_blocks)
    {
        const auto weakest =
            std::min_element(records_.begin(), records_.end(),
                             [](const auto& left, const auto& right)
                             {
                                 const std::size_t left_crashes =
                                     left.second.uncleared_crashes().size();
                                 const std::size_t right_crashes =
                                     right.second.uncleared_crashes().size();
                                 return left_crashes != right_crashes
                                            ? left_crashes < right_crashes
                                            : left.second.last_change() <
                                                  right.second.last_change();
                             });
        records_.erase(weakest);
    }
}

} // namespace hibiscusferry
