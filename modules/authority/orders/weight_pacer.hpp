#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_WEIGHT_PACER_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_WEIGHT_PACER_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** Rate limits for loading weights. */
struct weight_settings
{
    /** The number of loads per minute that the weight store provides to the
        whole fleet. */
    double fleet_loads_per_minute = 12;
    /** The number of services that share this rate, from the current
        documents. */
    std::uint32_t services = 1;
    /** The number of loads that may start together after an idle period. */
    double burst = 2;
    /** The delay after the first failure of a load; doubled after each further
        failure. */
    std::chrono::milliseconds initial_backoff{30000};
    std::chrono::milliseconds max_backoff{600000};
};

/** Limits loads of weights to this service's share of the weight store's rate
    with a token bucket, and backs off after failed loads.

    The fleet's rate is divided evenly among the services, so that their lease
    holders need no coordination. The bucket starts empty, so that a new holder
    cannot spend tokens that its predecessor has already spent.
*/
class weight_pacer
{
public:
    weight_pacer(const weight_settings& settings, time_point now);

    /** Returns true if a load of `argument` may start now. */
    bool may_load(const std::string& argument, time_point now) const;

    /** Records the start of a load. */
    void load_started(time_point now);

    void load_failed(const std::string& argument, time_point now);
    void load_succeeded(const std::string& argument);

private:
    struct backoff
    {
        std::chrono::milliseconds wait{0};
        time_point until;
    };

    double tokens_at(time_point now) const;

    weight_settings settings_;
    double tokens_ = 0;
    time_point last_refill_;
    std::map<std::string, backoff> backoffs_;
};

} // namespace hibiscusferry

#endif
