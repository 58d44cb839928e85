#ifndef HIBISCUSFERRY_EXTRAS_SOAK_TRAFFIC_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_TRAFFIC_HPP

#include <array>
#include <nlohmann/json.hpp>
#include <string>

namespace hibiscusferry::soak
{

/** A route of the configuration, as callers and targets see it. */
struct request_type
{
    const char* route;
    const char* prefix;
    const char* service;
    const char* kind;
    bool is_stream;
    bool is_resumable;
    int timeout_ms;

    /** Whether a request may run more than once. */
    bool is_repeatable() const;
};

/** All routes; those of streams come last. */
const std::array<request_type, 4>& request_types();

/** The type of a request by its path; null if no route has it. */
const request_type* find_request_type(const std::string& path);

/** The host name of all routes. */
const std::string& route_host();

/** The configuration as the operator writes it.
    @param timeout_percent  of the usual time limits of the routes
    @param has_engines  whether streams come from prefill and decode engines */
nlohmann::json configuration(int version, int timeout_percent,
                             bool has_engines);

} // namespace hibiscusferry::soak

#endif
