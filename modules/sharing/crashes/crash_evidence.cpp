#include "sharing/crashes/crash_evidence.hpp"

#include <algorithm>
#include <functional>

namespace hibiscusferry
{

namespace
{

/** Crashes within this time of each other are counted once. */
constexpr std::chrono::milliseconds episode_duration{400};

/** Number of separate episodes, or of crashed targets, from which on an input
   is suspected. */
struct suspicion_threshold
{
    std::size_t episodes;
    std::size_t crashes;
};
constexpr suspicion_threshold block_threshold{3, 5};
constexpr suspicion_threshold request_threshold{2, 3};

/** Distinguishes the keys of requests from those of blocks. */
constexpr input_key request_bit = 1ULL << 63;

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
/** How long the record of an input is kept after a completion. Other hosts may
    still report the crashes before it. */
constexpr std::chrono::seconds cleared_record_lifetime{30};

std::uint64_t hash_record(input_key input, const input_record& record)
{
    std::uint64_t hash = combine_hashes(input, record.uncleared_probes());
    for (const auto& [target, seen_at] : record.crashes)
    {
        if (seen_at > record.cleared_at)
            hash ^= combine_hashes(input, target);
    }
    return hash;
}

} // namespace

input_key key_of_block(std::uint64_t hash)
{
    return hash & ~request_bit;
}

input_key key_of_request(std::uint64_t hash)
{
    return hash | request_bit;
}

bool is_request_key(input_key input)
{
    return (input & request_bit) != 0;
}

// ========================================================================
// input_record

bool input_record::add_crash(incarnation_key target, time_point seen_at)
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

bool input_record::merge(const input_record& other)
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

std::vector<time_point> input_record::uncleared_crashes() const
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

unsigned input_record::uncleared_probes() const
{
    return last_probe_failed_at > cleared_at ? failed_probes : 0;
}

time_point input_record::last_change() const
{
    time_point last = std::max(cleared_at, last_probe_failed_at);
    for (const auto& [target, seen_at] : crashes)
        last = std::max(last, seen_at);
    return last;
}

// ========================================================================
// crash_evidence

void crash_evidence::record_crash(incarnation_key target,
                                  const std::vector<input_key>& inputs,
                                  bool was_probe, time_point now)
{
    for (const input_key input : inputs)
    {
        input_record& record = records_[input];
        record.add_crash(target, now);
        if (!was_probe)
            continue;
        record.failed_probes = record.uncleared_probes() + 1;
        record.last_probe_failed_at = now;
    }
    limit_size();
}

bool crash_evidence::record_completion(const std::vector<input_key>& inputs,
                                       time_point now)
{
    bool is_changed = false;
    for (const input_key input : inputs)
    {
        const auto entry = records_.find(input);
        if (entry == records_.end())
            continue;
        is_changed = is_changed || !entry->second.uncleared_crashes().empty();
        entry->second.cleared_at = std::max(entry->second.cleared_at, now);
    }
    return is_changed;
}

bool crash_evidence::merge(input_key input, const input_record& other,
                           time_point now)
{
    if (is_expired(other, now))
        return false;
    const bool is_changed = records_[input].merge(other);
    limit_size();
    return is_changed;
}

bool crash_evidence::is_suspected(input_key input, time_point now) const
{
    const input_record* const record = find(input);
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
    const suspicion_threshold& threshold =
        is_request_key(input) ? request_threshold : block_threshold;
    return episodes >= threshold.episodes ||
           crashes.size() >= threshold.crashes;
}

bool crash_evidence::is_probe_due(input_key input, time_point now) const
{
    return now >= probe_due_at(input);
}

time_point crash_evidence::probe_due_at(input_key input) const
{
    const input_record* const record = find(input);
    return record != nullptr ? next_probe_at(*record) : time_point::max();
}

const input_record* crash_evidence::find(input_key input) const
{
    const auto entry = records_.find(input);
    return entry == records_.end() ? nullptr : &entry->second;
}

const std::map<input_key, input_record>& crash_evidence::records() const
{
    return records_;
}

std::uint64_t crash_evidence::digest() const
{
    std::uint64_t digest = 0;
    for (const auto& [input, record] : records_)
    {
        if (!record.uncleared_crashes().empty())
            digest ^= hash_record(input, record);
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

bool crash_evidence::is_expired(const input_record& record, time_point now)
{
    if (record.uncleared_crashes().empty())
        return now - record.last_change() > cleared_record_lifetime;
    return now - std::max(record.last_change(), next_probe_at(record)) >
           record_lifetime;
}

time_point crash_evidence::next_probe_at(const input_record& record)
{
    const unsigned failed_probes = record.uncleared_probes();
    if (failed_probes == 0)
        return record.last_change() + first_probe_delay;
    return record.last_probe_failed_at +
           probe_backoff * (1U << std::min(failed_probes - 1, max_doublings));
}

void crash_evidence::limit_size()
{
    while (records_.size() > max_inputs)
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
