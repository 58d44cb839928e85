#include "http/client/transfer_progress.hpp"

namespace hibiscusferry
{

bool transfer_progress::is_moving(time_point now,
                                  std::chrono::milliseconds max_silence) const
{
    const bool has_arrived_lately =
        last_received_at && now - *last_received_at < max_silence;
    return has_arrived_lately || (has_unread_data && has_unread_data());
}

std::chrono::milliseconds transfer_progress::duration(time_point now) const
{
    return first_received_at ? std::chrono::ceil<std::chrono::milliseconds>(
                                   now - *first_received_at)
                             : std::chrono::milliseconds(0);
}

} // namespace hibiscusferry
