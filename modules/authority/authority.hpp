/** @file
    The authority module: who may give orders, and the orders.

    Decisions only, no I/O. Depends on foundation, document and platform.
*/
#ifndef HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP
#define HIBISCUSFERRY_AUTHORITY_AUTHORITY_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "platform/platform.hpp"

#endif
