/** @file
    The claims module: calls that may run at most once.

    Decisions only, no I/O. Depends on foundation and platform.
*/
#ifndef HIBISCUSFERRY_CLAIMS_CLAIMS_HPP
#define HIBISCUSFERRY_CLAIMS_CLAIMS_HPP

#include "foundation/foundation.hpp"
#include "platform/platform.hpp"

#endif
