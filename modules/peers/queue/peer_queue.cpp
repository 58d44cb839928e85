#include "peers/queue/peer_queue.hpp"

namespace hibiscusferry
{

peer_queue::peer_queue(std::size_t capacity, std::chrono::milliseconds lifetime)
    : capacity_(capacity)
    , lifetime_(lifetime)
{
}

bool peer_queue::push(peer_message message, time_point now)
{
    messages_.push_back({std::move(message), now});
    if (messages_.size() <= capacity_)
        return false;
    messages_.pop_front();
    return true;
}

std::size_t peer_queue::drop_expired(time_point now)
{
    std::size_t dropped = 0;
    while (!messages_.empty() &&
           now - messages_.front().enqueued_at >= lifetime_)
    {
        messages_.pop_front();
        ++dropped;
    }
    return dropped;
}

bool peer_queue::empty() const
{
    return messages_.empty();
}

std::size_t peer_queue::size() const
{
    return messages_.size();
}

const peer_message& peer_queue::front() const
{
    return messages_.front().message;
}

void peer_queue::pop()
{
    messages_.pop_front();
}

} // namespace hibiscusferry
