#ifndef HIBISCUSFERRY_PEERS_QUEUE_PEER_QUEUE_HPP
#define HIBISCUSFERRY_PEERS_QUEUE_PEER_QUEUE_HPP

#include "peers/message/peer_message.hpp"
#include <chrono>
#include <deque>

// Private to the module: messages that wait for a connection.

namespace hibiscusferry
{

/** The messages that wait for one peer; the oldest make room. */
class peer_queue
{
public:
    peer_queue(std::size_t capacity, std::chrono::milliseconds lifetime);

    /** @returns whether an older message was dropped to make room */
    bool push(peer_message message, time_point now);

    /** Drops what has waited for too long; returns how many. */
    std::size_t drop_expired(time_point now);

    bool empty() const;
    std::size_t size() const;
    const peer_message& front() const;
    void pop();

private:
    struct waiting_message
    {
        peer_message message;
        time_point since;
    };

    std::size_t capacity_;
    std::chrono::milliseconds lifetime_;
    std::deque<waiting_message> messages_;
};

} // namespace hibiscusferry

#endif
