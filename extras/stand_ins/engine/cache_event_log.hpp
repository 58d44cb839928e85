#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_CACHE_EVENT_LOG_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_CACHE_EVENT_LOG_HPP

#include "foundation/foundation.hpp"
#include "stand_ins/engine/prefix_cache.hpp"
#include <chrono>
#include <cstdint>
#include <deque>
#include <random>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A published change of the prefix cache. */
struct cache_event
{
    std::uint64_t sequence = 0;
    time_point since;
    cache_change change;
};

/** Publishes the changes of a prefix cache with a delay and with losses, which
    leave gaps in the sequence numbers. */
class cache_event_log
{
public:
    cache_event_log(std::chrono::milliseconds lag, unsigned loss_percent);

    void append(const std::vector<cache_change>& changes, time_point now);

    /** Returns the events after a sequence number that have been published
        by the given time. */
    std::vector<cache_event> read(std::uint64_t after, time_point now) const;

private:
    std::chrono::milliseconds lag_;
    unsigned loss_percent_;
    std::mt19937_64 random_;
    std::uint64_t last_sequence_ = 0;
    std::deque<cache_event> events_;
};

} // namespace hibiscusferry::stand_ins

#endif
