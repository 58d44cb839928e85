#include "routing/choice/target_selector.hpp"

#include <algorithm>
#include <cmath>

namespace hibiscusferry
{

namespace
{

double nanoseconds_of(std::chrono::nanoseconds duration)
{
    return static_cast<double>(duration.count());
}

bool is_excluded(const selection_request& request, const std::string& target)
{
    return std::find(request.excluded.begin(), request.excluded.end(),
                     target) != request.excluded.end();
}

} // namespace

target_selector::target_selector(const selector_settings& settings,
                                 std::uint64_t seed)
    : settings_(settings)
    , random_state_(seed)
{
}

result<target_selection>
target_selector::choose(const target_table& table,
                        const send_permission* permission,
                        const selection_request& request, time_point now)
{
    const std::error_code error =
        collect_candidates(table, permission, request, now);
    if (error)
        return error;
    remove_suspected();
    split_by_phase(request.kv_transfer_allowed);

    target_selection selection;
    const candidate& first = choose_primary(request, selection.by_affinity);
    selection.target = first.entry->address.id;
    if (!request.kv_transfer_allowed)
        return selection;

    const candidate* const decode_candidate = best_decode_candidate(first);
    const std::uint32_t blocks = static_cast<std::uint32_t>(
        std::ceil(request.prefill_tokens / kv_block_tokens));
    if (decode_candidate == nullptr || blocks == 0 ||
        !is_transfer_worthwhile(first, *decode_candidate, blocks))
    {
        return selection;
    }
    selection.decode_target = decode_candidate->entry->address.id;
    selection.kv_blocks = blocks;
    return selection;
}

std::chrono::nanoseconds
target_selector::expected_wait(const target_entry& entry) const
{
    double wait =
        entry.load.prefill_tokens * nanoseconds_of(settings_.prefill_token) +
        entry.load.streams * nanoseconds_of(settings_.stream_delay);
    if (entry.address.availability_zone != settings_.availability_zone)
        wait += nanoseconds_of(settings_.zone_delay);
    return std::chrono::nanoseconds(static_cast<std::int64_t>(wait));
}

// ========================================================================
// Candidates

std::error_code target_selector::collect_candidates(
    const target_table& table, const send_permission* permission,
    const selection_request& request, time_point now)
{
    candidates_.clear();
    std::error_code error = routing_error::no_target;
    for (const target_entry& entry : table.targets())
    {
        if (is_excluded(request, entry.address.id))
            continue;
        if (!table.can_take_work(entry, now))
        {
            if (entry.in_flight.size() >= table.settings().target_concurrency)
                error = routing_error::targets_full;
            continue;
        }
        if (permission != nullptr && permission->check(entry.address.id, now) !=
                                         permission_verdict::permitted)
        {
            error = routing_error::not_permitted;
            continue;
        }
        candidates_.push_back(
            {&entry, nanoseconds_of(expected_wait(entry)), 0});
    }
    return candidates_.empty() ? error : std::error_code();
}

void target_selector::remove_suspected()
{
    const auto is_suspect = [](const candidate& current)
    {
        return current.entry->health != target_health::healthy;
    };
    if (std::all_of(candidates_.begin(), candidates_.end(), is_suspect))
        return;
    candidates_.erase(
        std::remove_if(candidates_.begin(), candidates_.end(), is_suspect),
        candidates_.end());
}

void target_selector::split_by_phase(bool kv_transfer_allowed)
{
    decode_candidates_.clear();
    for (const candidate& current : candidates_)
    {
        if (current.entry->role != target_role::prefill)
            decode_candidates_.push_back(current);
    }
    const auto cannot_prefill =
        [this, kv_transfer_allowed](const candidate& current)
    {
        const bool needs_transfer = current.entry->role == target_role::prefill;
        return current.entry->role == target_role::decode ||
               (needs_transfer &&
                (!kv_transfer_allowed || decode_candidates_.empty()));
    };
    // A target in the wrong role may refuse the request, which costs less than
    // refusing it here.
    if (std::all_of(candidates_.begin(), candidates_.end(), cannot_prefill))
        return;
    candidates_.erase(
        std::remove_if(candidates_.begin(), candidates_.end(), cannot_prefill),
        candidates_.end());
}

// ========================================================================
// Choice

const target_selector::candidate&
target_selector::choose_primary(const selection_request& request,
                                bool& by_affinity)
{
    if (request.prefix != 0)
    {
        const candidate* const preferred = choose_by_affinity(request);
        if (preferred != nullptr)
        {
            by_affinity = true;
            return *preferred;
        }
    }
    return better_of_two(candidates_.size());
}

const target_selector::candidate*
target_selector::choose_by_affinity(const selection_request& request)
{
    const double count = static_cast<double>(candidates_.size());
    double sum = 0;
    for (candidate& current : candidates_)
    {
        sum += current.wait;
        current.preference =
            rendezvous_weight(request.prefix, current.entry->hash);
    }
    // Using another target costs a prefill that the prefix cache would have
    // saved.
    const double bound =
        settings_.load_bound * sum / count +
        request.prefill_tokens * nanoseconds_of(settings_.prefill_token);

    const double expected_targets = popularity_.count(request.prefix) * count;
    const std::size_t replicas = static_cast<std::size_t>(
        std::clamp(std::ceil(expected_targets), 1.0, count));
    if (replicas > 1)
    {
        order_by_preference(replicas);
        const candidate& selected = better_of_two(replicas);
        if (selected.wait <= bound)
            return &selected;
    }

    const candidate* preferred = nullptr;
    for (const candidate& current : candidates_)
    {
        if (current.wait <= bound &&
            (preferred == nullptr ||
             current.preference > preferred->preference))
            preferred = &current;
    }
    return preferred;
}

void target_selector::order_by_preference(std::size_t count)
{
    if (count >= candidates_.size())
        return;
    std::nth_element(candidates_.begin(),
                     candidates_.begin() + static_cast<std::ptrdiff_t>(count),
                     candidates_.end(),
                     [](const candidate& left, const candidate& right)
                     { return left.preference > right.preference; });
}

const target_selector::candidate&
target_selector::better_of_two(std::size_t count)
{
    const std::size_t first = next_random() % count;
    if (count == 1)
        return candidates_[first];
    const std::size_t second =
        (first + 1 + next_random() % (count - 1)) % count;
    return candidates_[first].wait <= candidates_[second].wait
               ? candidates_[first]
               : candidates_[second];
}

const target_selector::candidate*
target_selector::best_decode_candidate(const candidate& first) const
{
    const candidate* best = nullptr;
    for (const candidate& current : decode_candidates_)
    {
        if (current.entry == first.entry)
            continue;
        if (best == nullptr || decode_wait(current) < decode_wait(*best))
            best = &current;
    }
    return best;
}

double target_selector::decode_wait(const candidate& decode_candidate) const
{
    const target_load& load = decode_candidate.entry->load;
    return load.streams * nanoseconds_of(settings_.stream_delay) +
           load.prefill_tokens * nanoseconds_of(settings_.prefill_interference);
}

bool target_selector::is_transfer_worthwhile(const candidate& first,
                                             const candidate& decode_candidate,
                                             std::uint32_t blocks) const
{
    if (first.entry->role == target_role::prefill)
        return true;
    const double transfer =
        blocks * nanoseconds_of(settings_.kv_block_transfer_time);
    return decode_wait(first) > settings_.min_transfer_gain *
                                    (decode_wait(decode_candidate) + transfer);
}

std::uint64_t target_selector::next_random()
{
    random_state_ = combine_hashes(random_state_, 1);
    return random_state_;
}

} // namespace hibiscusferry
