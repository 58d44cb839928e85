/** @file
    The admission module: which request runs next, and which is refused.

    Decisions only, no I/O. Depends on foundation and document.
*/
#ifndef HIBISCUSFERRY_ADMISSION_ADMISSION_HPP
#define HIBISCUSFERRY_ADMISSION_ADMISSION_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"

#endif
