#ifndef HIBISCUSFERRY_PEERS_QUEUE_RETRY_PAUSE_HPP
#define HIBISCUSFERRY_PEERS_QUEUE_RETRY_PAUSE_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>

// Private to the module: how long to wait before connecting again.

namespace hibiscusferry
{

/** Exponential back-off with a random part, so that processes that lost a
    peer together do not all come back together. */
class retry_pause
{
public:
    retry_pause(std::chrono::milliseconds first,
                std::chrono::milliseconds longest);

    /** The pause after one more failure: of the present step, which doubles
        each time, between a half and the whole.
        @param random  uniformly distributed */
    std::chrono::milliseconds after_failure(std::uint64_t random);

    void reset();

private:
    std::chrono::milliseconds first_;
    std::chrono::milliseconds longest_;
    std::chrono::milliseconds step_;
};

} // namespace hibiscusferry

#endif
