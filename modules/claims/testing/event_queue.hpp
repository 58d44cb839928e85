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

/** Virtual time: runs events in order of their moment, those of the same
    moment in order of entry. For tests and benches. */
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

    /** Runs all events up to `end`. */
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

/** Seeded choices that are the same on every machine. */
class random_source
{
public:
    explicit random_source(std::uint64_t seed)
        : generator_(seed)
    {
    }

    /** A number from 0 up to `limit` - 1. */
    std::uint64_t below(std::uint64_t limit)
    {
        return generator_() % limit;
    }

    /** True in `percent` of a hundred cases. */
    bool chance(std::uint64_t percent)
    {
        return below(100) < percent;
    }

    std::chrono::milliseconds between(std::int64_t least, std::int64_t most)
    {
        const std::uint64_t width =
            static_cast<std::uint64_t>(most - least + 1);
        return std::chrono::milliseconds(
            least + static_cast<std::int64_t>(below(width)));
    }

private:
    std::mt19937_64 generator_;
};

} // namespace hibiscusferry::testing

#endif
