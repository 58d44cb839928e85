#include "peers/liveness/peer_liveness.hpp"

namespace hibiscusferry
{

peer_liveness::peer_liveness(const liveness_timeouts& timeouts, time_point now)
    : timeouts_(timeouts)
    , last_received_(now)
    , last_message_(now)
{
}

void peer_liveness::set_maintained(bool is_maintained)
{
    is_maintained_ = is_maintained;
}

void peer_liveness::message_sent(time_point now)
{
    last_message_ = now;
    if (!awaiting_response_since_)
        awaiting_response_since_ = now;
}

void peer_liveness::message_received(time_point now)
{
    last_message_ = now;
    record_activity(now);
}

void peer_liveness::probe_response_received(time_point now)
{
    record_activity(now);
}

liveness_action peer_liveness::next_action(time_point now)
{
    if (probe_sent_at_)
    {
        const std::chrono::nanoseconds elapsed = now - *probe_sent_at_;
        if (elapsed >= 2 * timeouts_.probe_timeout)
            return liveness_action::close_unresponsive;
        if (elapsed < timeouts_.probe_timeout || is_suspect_)
            return liveness_action::none;
        is_suspect_ = true;
        return liveness_action::suspect;
    }
    if (is_probe_due(now))
    {
        probe_sent_at_ = now;
        return liveness_action::probe;
    }
    const bool is_idle =
        !is_maintained_ && now - last_message_ >= timeouts_.idle_timeout;
    return is_idle ? liveness_action::close_idle : liveness_action::none;
}

bool peer_liveness::is_suspect() const
{
    return is_suspect_;
}

void peer_liveness::record_activity(time_point now)
{
    last_received_ = now;
    awaiting_response_since_.reset();
    probe_sent_at_.reset();
    is_suspect_ = false;
}

bool peer_liveness::is_probe_due(time_point now) const
{
    if (awaiting_response_since_ &&
        now - *awaiting_response_since_ >= timeouts_.probe_delay)
        return true;
    return is_maintained_ && now - last_received_ >= timeouts_.probe_delay;
}

} // namespace hibiscusferry
