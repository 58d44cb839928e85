#ifndef HIBISCUSFERRY_SERVING_MODEL_TARGET_RECORD_HPP
#define HIBISCUSFERRY_SERVING_MODEL_TARGET_RECORD_HPP

#include "http/http.hpp"
#include "routing/routing.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** A target as it has registered itself. */
struct target_record
{
    /** Its name for this life, mostly. */
    std::string id;
    std::string service;
    std::string availability_zone;
    http_endpoint endpoint;
    unsigned slots = 1;
    /** target_role::mixed for application servers. */
    target_role stage = target_role::mixed;
    bool is_draining = false;
    /** When it was started, on its own wall clock; tells a restart under the
        same id. */
    std::chrono::milliseconds started_at{0};
};

/** A hash of all that the record says. */
std::uint64_t hash_of(const target_record& record);

} // namespace hibiscusferry

#endif
