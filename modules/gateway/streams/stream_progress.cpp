#include "gateway/streams/stream_progress.hpp"

#include <charconv>

namespace hibiscusferry
{

namespace
{

/** Returns the number of an id, or std::nullopt if it is not a number. */
std::optional<std::uint64_t> number_of(const std::string& id)
{
    std::uint64_t number = 0;
    const char* const end = id.data() + id.size();
    const std::from_chars_result parsed =
        std::from_chars(id.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

} // namespace

stream_progress::stream_progress(const std::string& last_event_id)
    : last_event_id_(last_event_id)
    , highest_id_(number_of(last_event_id))
    , kind_(response_kind::resumption)
{
}

const std::string& stream_progress::last_event_id() const
{
    return last_event_id_;
}

bool stream_progress::can_continue() const
{
    return can_continue_;
}

void stream_progress::begin_continuation()
{
    kind_ = response_kind::continuation;
    has_followed_ = false;
    has_repeated_ = false;
}

stream_progress::placement
stream_progress::place(const server_sent_event& event)
{
    if (kind_ == response_kind::first)
        return placement::next;
    if (!has_followed_)
        return place_start(event);
    const std::optional<std::uint64_t> number = number_of(event.id);
    const bool is_placed = event.id.empty() || number > highest_id_;
    return is_placed || kind_ == response_kind::resumption ? placement::next
                                                           : placement::unknown;
}

stream_progress::placement
stream_progress::place_start(const server_sent_event& event)
{
    const std::optional<std::uint64_t> number = number_of(event.id);
    if (kind_ == response_kind::resumption)
        return number && number <= highest_id_ ? placement::unknown
                                               : placement::next;
    if (!number)
        return placement::unknown;
    // A repetition is of the same stream only if it contains the last event.
    if (number > highest_id_)
        return has_repeated_ || is_after_gap(*number) ? placement::unknown
                                                      : placement::next;
    has_repeated_ = true;
    if (number < highest_id_)
        return placement::repeated;
    has_followed_ = true;
    return stable_hash(event.data) == last_data_ ? placement::repeated
                                                 : placement::unknown;
}

bool stream_progress::may_end() const
{
    return !has_repeated_ || has_followed_;
}

bool stream_progress::is_after_gap(std::uint64_t id) const
{
    // A single id does not show what the ids count.
    return has_counting_ids_ && compared_ids_ > 0 && id != *highest_id_ + 1;
}

void stream_progress::advance(const server_sent_event& event)
{
    has_followed_ = true;
    const std::optional<std::uint64_t> number = number_of(event.id);
    can_continue_ = number > highest_id_;
    if (event.id.empty())
        return;
    if (highest_id_)
    {
        has_counting_ids_ = has_counting_ids_ && number == *highest_id_ + 1;
        ++compared_ids_;
    }
    last_event_id_ = event.id;
    last_data_ = stable_hash(event.data);
    if (can_continue_)
        highest_id_ = number;
}

} // namespace hibiscusferry
