#ifndef HIBISCUSFERRY_SERVING_CREDENTIALS_CREDENTIAL_CHECK_HPP
#define HIBISCUSFERRY_SERVING_CREDENTIALS_CREDENTIAL_CHECK_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>

namespace hibiscusferry
{

/** The result of checking the key of a request. */
enum class credential_result
{
    accepted,
    unknown,   ///< no workspace has the key
    unverified ///< the configuration may have changed since it was confirmed
};

/** Bounds on the age of the configuration by which keys are checked. */
struct credential_bounds
{
    /** A request that was sent this long after its key was taken away must not
        run, even at a host without contact to the store; none if only hosts in
        contact have to reject it. */
    std::optional<std::chrono::milliseconds> revocation_time;
    /** Time within which an added key must be accepted. */
    std::chrono::milliseconds max_configuration_delay{0};
};

/** Checks the key of a request against a configuration that may be outdated.

    Answers the load of callers whose keys were taken away, at hosts that have
    lost contact with the store. The configuration includes everything that was
    acknowledged up to `confirmed_at`, so it shows all keys that were taken away
    `revocation_time` before a request if it was confirmed since then. The
    arrival of a request is a bound for the time at which it was sent.

    @param is_known      whether the configuration has the key
    @param confirmed_at  when the configuration was last known to be current; a
                         time of the store's own answer, not of a relay's
    @param arrived_at    when the request arrived at this host */
credential_result check_credentials(bool is_known,
                                    std::optional<time_point> confirmed_at,
                                    time_point arrived_at,
                                    const credential_bounds& bounds);

/** Whether a host should report that it is not ready, because it will soon
    refuse requests as unverified. The load balancer needs up to two of its
    checks to direct callers to other hosts; requests are refused only after
    that. */
bool will_be_unverified(std::optional<time_point> confirmed_at, time_point now,
                        const credential_bounds& bounds);

} // namespace hibiscusferry

#endif
