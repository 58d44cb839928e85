#include "routing/connections/connection_health.hpp"

namespace hibiscusferry
{

connection_health::connection_health(const connection_limits& limits,
                                     time_point now)
    : limits_(limits)
    , last_received_(now)
{
}

void connection_health::exchange_started(time_point now)
{
    if (state_ != state::idle)
        return;
    state_ = state::exchanging;
    last_received_ = now;
}

void connection_health::received(bool in_stream, time_point now)
{
    last_received_ = now;
    switch (state_)
    {
    case state::exchanging:
    case state::streaming:
        state_ = in_stream ? state::streaming : state::exchanging;
        break;
    case state::suspect:
        // The connection still works.
        state_ = was_streaming_ ? state::streaming : state::probing;
        deadline_ = now + limits_.response_timeout;
        break;
    default:
        break;
    }
}

void connection_health::exchange_finished(time_point now)
{
    if (state_ == state::unusable)
        return;
    state_ = state::idle;
    last_received_ = now;
}

void connection_health::exchange_abandoned()
{
    state_ = state::unusable;
}

void connection_health::new_connection_probed(bool works, time_point now)
{
    if (state_ != state::suspect)
        return;
    has_probe_result_ = true;
    new_connection_works_ = works;
    deadline_ = now;
}

connection_action connection_health::tick(time_point now)
{
    if (now < next_tick())
        return connection_action::none;
    switch (state_)
    {
    case state::idle:
        state_ = state::probing;
        deadline_ = now + limits_.response_timeout;
        return connection_action::probe;
    case state::probing:
    case state::streaming:
        was_streaming_ = state_ == state::streaming;
        state_ = state::suspect;
        has_probe_result_ = false;
        new_connection_works_ = false;
        deadline_ = now + limits_.response_timeout;
        return connection_action::probe_new_connection;
    case state::suspect:
        state_ = state::unusable;
        return has_probe_result_ && new_connection_works_
                   ? connection_action::replace
                   : connection_action::mark_target_failed;
    default:
        return connection_action::none;
    }
}

time_point connection_health::next_tick() const
{
    switch (state_)
    {
    case state::idle:
        return last_received_ + limits_.probe_after;
    case state::probing:
    case state::suspect:
        return deadline_;
    case state::streaming:
        return last_received_ + limits_.stream_idle_timeout;
    default:
        return time_point::max();
    }
}

bool connection_health::is_reusable(time_point now) const
{
    return state_ == state::idle &&
           now - last_received_ <=
               limits_.probe_after + limits_.response_timeout;
}

bool connection_health::must_close() const
{
    return state_ == state::unusable;
}

} // namespace hibiscusferry
