#ifndef HIBISCUSFERRY_HTTP_CLIENT_TRANSFER_PROGRESS_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_TRANSFER_PROGRESS_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>

namespace hibiscusferry
{

/** What has arrived of the response to a call, for a caller that decides in the
    meantime whether to send another one. */
struct transfer_progress
{
    /** Bytes of the bodies of all responses, if there were several. */
    std::size_t received_bytes = 0;
    /** When the first bytes of a response arrived; none before. */
    std::optional<time_point> first_received_at;
    /** When the last bytes of a response arrived; none before the first. */
    std::optional<time_point> last_received_at;
    /** Returns whether bytes have arrived that have not been read, as this
        process was busy. Set while a response is awaited. */
    std::function<bool()> has_unread_data;

    /** Whether bytes of the response have arrived lately, or have arrived and
        have not been read.
        @param max_silence  maximum time since the last bytes */
    bool is_moving(time_point now, std::chrono::milliseconds max_silence) const;

    /** Time since the first bytes arrived; zero before. */
    std::chrono::milliseconds duration(time_point now) const;
};

} // namespace hibiscusferry

#endif
