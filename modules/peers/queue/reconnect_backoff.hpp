#ifndef HIBISCUSFERRY_PEERS_QUEUE_RECONNECT_BACKOFF_HPP
#define HIBISCUSFERRY_PEERS_QUEUE_RECONNECT_BACKOFF_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>

// Private to the module: delays between connection attempts.

namespace hibiscusferry
{

/** Exponential backoff with jitter, so that processes that lost their
    connections to a peer at the same time do not all reconnect at once. */
class reconnect_backoff
{
public:
    reconnect_backoff(std::chrono::milliseconds initial,
                      std::chrono::milliseconds max_delay);

    /** Returns the delay after another failure. It is between half and all
        of the current delay, which then doubles up to the maximum.
        @param random  a uniformly distributed random value */
    std::chrono::milliseconds next_delay(std::uint64_t random);

    void reset();

private:
    std::chrono::milliseconds initial_;
    std::chrono::milliseconds max_delay_;
    std::chrono::milliseconds current_;
};

} // namespace hibiscusferry

#endif
