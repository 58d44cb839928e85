#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_WEIGHT_PACER_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_WEIGHT_PACER_HPP

#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <string>

namespace hibiscusferry
{

/** How fast weights may be loaded. */
struct weight_settings
{
    /** Loads a minute that the weight store gives the whole fleet. */
    double fleet_loads_per_minute = 12;
    /** Services that share them, from the documents in force. */
    std::uint32_t services = 1;
    /** Loads that may start together after a quiet time. */
    double burst = 2;
    /** Wait after the first failure of a load; doubled with each one. */
    std::chrono::milliseconds initial_backoff{30000};
    std::chrono::milliseconds max_backoff{600000};
};

/** Paces loads of weights to this service's part of the weight store's rate:
    a token bucket, and a back-off for what failed.

    The fleet's rate is divided evenly between the services, so that their
    holders need not speak with each other. The bucket starts empty: a new
    holder cannot spend what its predecessor spent already.
*/
class weight_pacer
{
public:
    weight_pacer(const weight_settings& settings, time_point now);

    /** Whether a load of `argument` may start now. */
    bool may_load(const std::string& argument, time_point now) const;

    /** A load starts. */
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
    time_point filled_;
    std::map<std::string, backoff> backoffs_;
};

} // namespace hibiscusferry

#endif
