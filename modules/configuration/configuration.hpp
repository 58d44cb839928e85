/** @file
    The configuration module: documents in force on every host.

    Decisions only, no I/O. Depends on foundation, document and platform.
*/
#ifndef HIBISCUSFERRY_CONFIGURATION_CONFIGURATION_HPP
#define HIBISCUSFERRY_CONFIGURATION_CONFIGURATION_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "platform/platform.hpp"

#endif
