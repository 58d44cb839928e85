#include "peers/liveness/peer_liveness.hpp"

namespace hibiscusferry
{

peer_liveness::peer_liveness(const liveness_limits& limits, time_point now)
    : limits_(limits)
    , last_heard_(now)
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
    if (!unanswered_since_)
        unanswered_since_ = now;
}

void peer_liveness::message_received(time_point now)
{
    last_message_ = now;
    heard(now);
}

void peer_liveness::probe_answered(time_point now)
{
    heard(now);
}

liveness_action peer_liveness::due(time_point now)
{
    if (probed_at_)
    {
        const std::chrono::nanoseconds waited = now - *probed_at_;
        if (waited >= 2 * limits_.probe_limit)
            return liveness_action::give_up;
        if (waited < limits_.probe_limit || is_suspect_)
            return liveness_action::none;
        is_suspect_ = true;
        return liveness_action::suspect;
    }
    if (wants_probe(now))
    {
        probed_at_ = now;
        return liveness_action::probe;
    }
    const bool is_idle =
        !is_maintained_ && now - last_message_ >= limits_.idle_limit;
    return is_idle ? liveness_action::close_idle : liveness_action::none;
}

bool peer_liveness::is_suspect() const
{
    return is_suspect_;
}

void peer_liveness::heard(time_point now)
{
    last_heard_ = now;
    unanswered_since_.reset();
    probed_at_.reset();
    is_suspect_ = false;
}

bool peer_liveness::wants_probe(time_point now) const
{
    if (unanswered_since_ && now - *unanswered_since_ >= limits_.probe_after)
        return true;
    return is_maintained_ && now - last_heard_ >= limits_.probe_after;
}

} // namespace hibiscusferry
