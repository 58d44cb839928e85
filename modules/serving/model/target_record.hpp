#ifndef HIBISCUSFERRY_SERVING_MODEL_TARGET_RECORD_HPP
#define HIBISCUSFERRY_SERVING_MODEL_TARGET_RECORD_HPP

#include "http/http.hpp"
#include "routing/routing.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** The registration of a target in the table service. */
struct target_record
{
    /** Usually unique to one incarnation of the target. */
    std::string id;
    std::string service;
    std::string availability_zone;
    /** The version of the target's software, not of its model weights; empty if
        the registration does not state one. Responses of different versions
        cannot be combined into one stream. */
    std::string software_version;
    http_endpoint endpoint;
    unsigned slots = 1;
    /** target_role::mixed for application servers. */
    target_role stage = target_role::mixed;
    bool is_draining = false;
    /** Whether the platform may take the target away at short notice. */
    bool is_reclaimable = false;
    /** Start time on the target's own wall clock; distinguishes incarnations
        that use the same id. */
    std::chrono::milliseconds started_at{0};
};

/** Returns a hash of all fields of the record. */
std::uint64_t hash_of(const target_record& record);

} // namespace hibiscusferry

#endif
