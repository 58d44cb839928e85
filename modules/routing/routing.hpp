/** @file
    The routing module: which target serves a request.

    Decisions only, no I/O. Depends on foundation and document.
*/
#ifndef HIBISCUSFERRY_ROUTING_ROUTING_HPP
#define HIBISCUSFERRY_ROUTING_ROUTING_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

#endif
