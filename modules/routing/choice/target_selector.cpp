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
    const std::error_code error = gather(table, permission, request, now);
    if (error)
        return error;
    keep_healthy();
    split_by_phase(request.kv_transfer_allowed);

    target_selection chosen;
    const candidate& first = choose_first(request, chosen.by_affinity);
    chosen.target = first.entry->address.id;
    if (!request.kv_transfer_allowed)
        return chosen;

    const candidate* const decoder = best_decoder(first);
    const std::uint32_t pieces = static_cast<std::uint32_t>(
        std::ceil(request.prefill_tokens / kv_block_tokens));
    if (decoder == nullptr || pieces == 0 ||
        !hand_over_pays(first, *decoder, pieces))
    {
        return chosen;
    }
    chosen.decode_target = decoder->entry->address.id;
    chosen.kv_blocks = pieces;
    return chosen;
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

// ------------------------------------------------------------------------
// Candidates

std::error_code target_selector::gather(const target_table& table,
                                        const send_permission* permission,
                                        const selection_request& request,
                                        time_point now)
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

void target_selector::keep_healthy()
{
    const auto is_suspect = [](const candidate& one)
    {
        return one.entry->health != target_health::healthy;
    };
    if (std::all_of(candidates_.begin(), candidates_.end(), is_suspect))
        return;
    candidates_.erase(
        std::remove_if(candidates_.begin(), candidates_.end(), is_suspect),
        candidates_.end());
}

void target_selector::split_by_phase(bool kv_transfer_allowed)
{
    decoders_.clear();
    for (const candidate& one : candidates_)
    {
        if (one.entry->role != target_role::prefill)
            decoders_.push_back(one);
    }
    const auto cannot_begin = [this, kv_transfer_allowed](const candidate& one)
    {
        const bool needs_decoder = one.entry->role == target_role::prefill;
        return one.entry->role == target_role::decode ||
               (needs_decoder && (!kv_transfer_allowed || decoders_.empty()));
    };
    // A target of the wrong role may refuse the work; that costs less than
    // to refuse it here.
    if (std::all_of(candidates_.begin(), candidates_.end(), cannot_begin))
        return;
    candidates_.erase(
        std::remove_if(candidates_.begin(), candidates_.end(), cannot_begin),
        candidates_.end());
}

// ------------------------------------------------------------------------
// Choice

const target_selector::candidate&
target_selector::choose_first(const selection_request& request,
                              bool& by_affinity)
{
    if (request.prefix != 0)
    {
        const candidate* const preferred = preferred_by(request);
        if (preferred != nullptr)
        {
            by_affinity = true;
            return *preferred;
        }
    }
    return better_of_two(candidates_.size());
}

const target_selector::candidate*
target_selector::preferred_by(const selection_request& request)
{
    const double count = static_cast<double>(candidates_.size());
    double sum = 0;
    for (candidate& one : candidates_)
    {
        sum += one.wait;
        one.preference = rendezvous_weight(request.prefix, one.entry->hash);
    }
    // To go elsewhere costs a prefill that the cache would have saved.
    const double bound =
        settings_.load_bound * sum / count +
        request.prefill_tokens * nanoseconds_of(settings_.prefill_token);

    const double deserved = popularity_.count(request.prefix) * count;
    const std::size_t replicas =
        static_cast<std::size_t>(std::clamp(std::ceil(deserved), 1.0, count));
    if (replicas > 1)
    {
        order_by_preference(replicas);
        const candidate& drawn = better_of_two(replicas);
        if (drawn.wait <= bound)
            return &drawn;
    }

    const candidate* preferred = nullptr;
    for (const candidate& one : candidates_)
    {
        if (one.wait <= bound &&
            (preferred == nullptr || one.preference > preferred->preference))
            preferred = &one;
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
    const std::size_t first = draw() % count;
    if (count == 1)
        return candidates_[first];
    const std::size_t second = (first + 1 + draw() % (count - 1)) % count;
    return candidates_[first].wait <= candidates_[second].wait
               ? candidates_[first]
               : candidates_[second];
}

const target_selector::candidate*
target_selector::best_decoder(const candidate& first) const
{
    const candidate* best = nullptr;
    for (const candidate& one : decoders_)
    {
        if (one.entry == first.entry)
            continue;
        if (best == nullptr || decode_wait(one) < decode_wait(*best))
            best = &one;
    }
    return best;
}

double target_selector::decode_wait(const candidate& decoder) const
{
    const target_load& load = decoder.entry->load;
    return load.streams * nanoseconds_of(settings_.stream_delay) +
           load.prefill_tokens * nanoseconds_of(settings_.prefill_interference);
}

bool target_selector::hand_over_pays(const candidate& first,
                                     const candidate& decoder,
                                     std::uint32_t pieces) const
{
    if (first.entry->role == target_role::prefill)
        return true;
    const double transfer =
        pieces * nanoseconds_of(settings_.kv_block_transfer_time);
    return decode_wait(first) >
           settings_.min_transfer_gain * (decode_wait(decoder) + transfer);
}

std::uint64_t target_selector::draw()
{
    random_state_ = combine_hashes(random_state_, 1);
    return random_state_;
}

} // namespace hibiscusferry
