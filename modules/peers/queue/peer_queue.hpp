#ifndef HIBISCUSFERRY_PEERS_QUEUE_PEER_QUEUE_HPP
#define HIBISCUSFERRY_PEERS_QUEUE_PEER_QUEUE_HPP

#include "peers/message/peer_message.hpp"
#include <chrono>
#include <deque>

// Private to the module: queue of messages for a peer.

namespace hibiscusferry
{

/** A bounded queue of messages for one peer. When it is full, a new message
    evicts the oldest one. */
class peer_queue
{
public:
    peer_queue(std::size_t capacity, std::chrono::milliseconds lifetime);

    /** Adds a message.
        @returns whether the oldest message was evicted */
    bool push(peer_message message, time_point now);

    /** Drops messages that have been queued for their lifetime.
        @returns the number of messages dropped */
    std::size_t drop_expired(time_point now);

    bool empty() const;
    std::size_t size() const;
    const peer_message& front() const;
    void pop();

private:
    struct queued_message
    {
        peer_message message;
        time_point enqueued_at;
    };

    std::size_t capacity_;
    std::chrono::milliseconds lifetime_;
    std::deque<queued_message> messages_;
};

} // namespace hibiscusferry

#endif
