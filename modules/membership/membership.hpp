/** @file
    The membership module: which entry hosts are up.

    Decisions only, no I/O. Depends on foundation and platform.
*/
#ifndef HIBISCUSFERRY_MEMBERSHIP_MEMBERSHIP_HPP
#define HIBISCUSFERRY_MEMBERSHIP_MEMBERSHIP_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

// The parts, in order of dependence.
#include "membership/messages/membership_message.hpp"
#include "membership/view/membership_view.hpp"

#endif
