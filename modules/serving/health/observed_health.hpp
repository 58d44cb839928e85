#ifndef HIBISCUSFERRY_SERVING_HEALTH_OBSERVED_HEALTH_HPP
#define HIBISCUSFERRY_SERVING_HEALTH_OBSERVED_HEALTH_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <string_view>

namespace hibiscusferry
{

/** The outcome of an exchange with a target, as it bears on the target's
    health. */
enum class exchange_outcome
{
    responded,   ///< a response from the target arrived in time
    shed,        ///< the target refused without running the request
    failed,      ///< the target responded with an error of its own
    broken,      ///< the connection broke or the response was malformed
    unreachable, ///< no connection could be established
    timed_out    ///< no byte arrived before the timeout
};

/** Returns the name of an outcome as used in events: "answered", "shed", ... */
std::string_view to_text(exchange_outcome outcome);

/** Passive health check: detects failing targets from the outcomes of ordinary
    exchanges.

    A target is quarantined when an exchange was silent or unreachable and the
    target has not responded to any request of this host for a while; a target
    that is merely overloaded still responds to some. It is also quarantined
    when a large fraction of its requests break or fail. After the quarantine,
    it is probed with one request at a time; each failed probe doubles the next
    quarantine up to a maximum. The target's health page is not queried, since
    its response may be wrong.
*/
class observed_health
{
public:
    /** Records the outcome of a finished exchange. */
    void record(exchange_outcome outcome, time_point now);

    /** Whether the target is outside any quarantine and may receive
        requests. */
    bool is_usable(time_point now) const;

    /** Whether a quarantine has ended and no request has succeeded since. Such
        a target receives one request at a time. */
    bool is_probing(time_point now) const;

    /** Whether the target responded to this host recently. */
    bool has_responded_recently(time_point now) const;

    /** Exponentially weighted fraction of recent exchanges that did not
        succeed, from 0 to 1; refused exchanges do not count. */
    double failure_rate() const;

private:
    void quarantine(time_point now);

    unsigned consecutive_quarantines_ = 0;
    double failure_rate_ = 0;
    time_point last_response_at_{};
    time_point quarantined_until_{};
};

} // namespace hibiscusferry

#endif
