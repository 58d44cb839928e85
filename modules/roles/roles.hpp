/** @file
    The roles module: which role each engine plays as the token mix shifts.

    Decisions only, no I/O. Depends on foundation and document.
*/
#ifndef HIBISCUSFERRY_ROLES_ROLES_HPP
#define HIBISCUSFERRY_ROLES_ROLES_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

#endif
