#ifndef HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_PROGRESS_HPP
#define HIBISCUSFERRY_GATEWAY_STREAMS_STREAM_PROGRESS_HPP

#include "http/http.hpp"
#include <cstdint>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** What the caller of a stream has received of it, by the ids of the events.

    Determines whether another target can continue the stream, and which events
    of its response continue it: a target may repeat what the caller has, or
    begin a new run. Only ids that are increasing decimal numbers have a known
    order; they need not be consecutive, but if they have been, they count the
    events.
*/
class stream_progress
{
public:
    /** How an event relates to those that the caller has. */
    enum class placement
    {
        next,     ///< follows them
        repeated, ///< is one of them
        unknown   ///< cannot be told; sending it could corrupt the stream
    };

    /** The start of a stream. */
    stream_progress() = default;

    /** The position of a caller that resumes a stream.
        @param last_event_id  the last event that the caller has */
    explicit stream_progress(const std::string& last_event_id);

    /** The id of the last event that had one; empty if there is none. */
    const std::string& last_event_id() const;

    /** Whether the last event identifies all events that the caller has, so
        that a target can continue after it. */
    bool can_continue() const;

    /** Begins the response of another target that was asked to continue after
        last_event_id(). */
    void begin_continuation();

    /** Places the next event of the response. */
    placement place(const server_sent_event& event);

    /** Whether the response of a target may end here: not if it has repeated
        events that the caller has, but not reached the last one. */
    bool may_end() const;

    /** Records that an event was sent to the caller. */
    void advance(const server_sent_event& event);

private:
    /** What the response of the current target consists of. */
    enum class response_kind
    {
        first,       ///< of the target that begins the stream
        resumption,  ///< of a target that continues the stream of a caller that
                     ///< resumes it; the caller places what has no order
        continuation ///< of a target that continues the current response
    };

    placement place_start(const server_sent_event& event);
    /** Whether the ids so far count the events, and one is left out before this
        one. */
    bool is_after_gap(std::uint64_t id) const;

    std::string last_event_id_;
    std::optional<std::uint64_t> highest_id_;
    /** The data of the last event, as a hash. */
    std::optional<std::uint64_t> last_data_;
    /** Whether each id so far has been the one before it plus one, and how many
        ids were compared. */
    bool has_counting_ids_ = true;
    std::size_t compared_ids_ = 0;
    bool can_continue_ = true;
    response_kind kind_ = response_kind::first;
    /** Whether an event of the current response has followed the position. */
    bool has_followed_ = false;
    bool has_repeated_ = false;
};

} // namespace hibiscusferry

#endif
