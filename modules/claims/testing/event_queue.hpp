#ifndef HIBISCUSFERRY_CLAIMS_TESTING_EVENT_QUEUE_HPP
#define HIBISCUSFERRY_CLAIMS_TESTING_EVENT_QUEUE_HPP

#include "foundation/foundation.hpp"
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <utility>

namespace hibiscusferry::testing
{

/** Event loop in virtual time for tests and benchmarks. Runs events in the
    order of their times, and events with equal times in the order of insertion.
*/
class event_queue
{
public:
    using event_handler = std::function<void()>;

    time_point now() const
    {
        return now_;
    }

    void at(time_point moment, event_handler handler)
    {
        events_.emplace(std::max(moment, now_), std::move(handler));
    }

    void after(std::chrono::nanoseconds delay, event_handler handler)
    {
        at(now_ + delay, std::move(handler));
    }

    /** Runs all events up to and including `end`. */
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.begin()->first <= end)
        {
            now_ = events_.begin()->first;
            const event_handler handler = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            handler();
        }
        now_ = end;
    }

private:
    time_point now_{std::chrono::hours(1)};
    std::multimap<time_point, event_handler> events_;
};

/** Seeded random source that gives the same values on every platform. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : generator_(seed)
    {
    }

    /** @returns a random number less than `limit` */
    std::uint64_t below(std::uint64_t limit)
    {
        return generator_() % limit;
    }

    /** @returns true with a probability of `percent` percent */
    bool chance(std::uint64_t percent)
    {
        return below(100) < percent;
    }

    std::chrono::milliseconds between(std::int64_t minimum,
                                      std::int64_t maximum)
    {
        const std::uint64_t width =
            static_cast<std::uint64_t>(maximum - minimum + 1);
        return std::chrono::milliseconds(
            minimum + static_cast<std::int64_t>(below(width)));
    }

private:
    std::mt19937_64 generator_;
};

} // namespace hibiscusferry::testing

#endif
