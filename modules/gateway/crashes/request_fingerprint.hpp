#ifndef HIBISCUSFERRY_GATEWAY_CRASHES_REQUEST_FINGERPRINT_HPP
#define HIBISCUSFERRY_GATEWAY_CRASHES_REQUEST_FINGERPRINT_HPP

#include "gateway/protocol/caller_protocol.hpp"
#include <cstdint>

namespace hibiscusferry
{

/** Returns a hash of what makes two requests the same: the caller, the method,
    the host, the path with its query, the prompt and the body. Ids and time
    limits, which differ each time, are left out.

    Takes about 0.1 ms for each megabyte of the body. */
std::uint64_t fingerprint_of(const gateway_request& request);

} // namespace hibiscusferry

#endif
