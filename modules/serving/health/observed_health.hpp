#ifndef HIBISCUSFERRY_SERVING_HEALTH_OBSERVED_HEALTH_HPP
#define HIBISCUSFERRY_SERVING_HEALTH_OBSERVED_HEALTH_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <string_view>

namespace hibiscusferry
{

/** How an exchange with a target went, as far as its health is concerned. */
enum class exchange_outcome
{
    answered,    ///< an answer of its own arrived in time
    shed,        ///< it refused without running the request
    failed,      ///< it answered with an error of its own
    broken,      ///< the connection broke, or the bytes were no answer
    unreachable, ///< no connection could be made
    silent       ///< no byte came within the time allowed
};

/** "answered", "shed", and so on. */
std::string_view to_text(exchange_outcome outcome);

/** Finds targets that fail from what their own exchanges show.

    A target that was silent or unreachable, and has answered nobody for a
    while, is set aside for a period that doubles with each further such
    exchange; then one request at a time tries it. A target that is merely
    overloaded still answers some. One that breaks off or fails a large part
    of its requests is set aside too. Nothing here asks a health page: its
    answer may be wrong.
*/
class observed_health
{
public:
    /** An exchange ended. */
    void record(exchange_outcome outcome, time_point now);

    /** Whether the target may be given work now. */
    bool is_usable(time_point now) const;

    /** Whether the target has come out of a period and has not proven itself
        since: it gets one request at a time. */
    bool is_probing(time_point now) const;

    /** Whether the target gave this host an answer a moment ago. */
    bool has_answered_lately(time_point now) const;

    /** Part of recent exchanges that failed or broke, from 0 to 1. */
    double failure_rate() const;

private:
    void set_aside(time_point now);

    unsigned periods_in_row_ = 0;
    double failure_rate_ = 0;
    time_point last_answer_{};
    time_point set_aside_until_{};
};

} // namespace hibiscusferry

#endif
