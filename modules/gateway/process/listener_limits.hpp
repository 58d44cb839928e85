#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_LISTENER_LIMITS_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_LISTENER_LIMITS_HPP

#include "gateway/protocol/host_settings.hpp"
#include "http/http.hpp"

namespace hibiscusferry
{

/** Returns the memory for the connections, requests and responses of callers.

    Three quarters of the memory of the host, but no more than leaves 48 MB: an
    idle process takes about 15 MB, and control up to 32 MB. At least half.
*/
std::size_t client_memory_bytes(const host_settings& settings);

/** Returns how many connections of callers are open at most.

    Three fifths of the descriptors, without those reserved for files. The rest
    is for connections to targets, to other hosts and to the store. */
std::size_t max_caller_connections(const host_settings& settings);

/** Returns the limits of the listener for readiness checks. */
http_server_limits readiness_limits();

/** Returns the limits of the listener for metrics. */
http_server_limits metrics_limits();

/** Returns the limits of the listener for messages between hosts. */
http_server_limits peer_limits();

} // namespace hibiscusferry

#endif
