#include "serving/credentials/credential_check.hpp"

namespace hibiscusferry
{

namespace
{

/** Part of the revocation time after which a host is not ready. */
constexpr int ready_percent = 70;

bool is_older(std::optional<time_point> confirmed_at, time_point at,
              std::chrono::milliseconds age)
{
    return !confirmed_at || at - *confirmed_at > age;
}

} // namespace

credential_result check_credentials(bool is_known,
                                    std::optional<time_point> confirmed_at,
                                    time_point arrived_at,
                                    const credential_bounds& bounds)
{
    if (bounds.revocation_time &&
        is_older(confirmed_at, arrived_at, *bounds.revocation_time))
        return credential_result::unverified;
    if (is_known)
        return credential_result::accepted;
    // The key may have been added since the configuration was confirmed.
    return is_older(confirmed_at, arrived_at, bounds.max_configuration_delay)
               ? credential_result::unverified
               : credential_result::unknown;
}

bool will_be_unverified(std::optional<time_point> confirmed_at, time_point now,
                        const credential_bounds& bounds)
{
    return bounds.revocation_time &&
           is_older(confirmed_at, now,
                    *bounds.revocation_time * ready_percent / 100);
}

} // namespace hibiscusferry
