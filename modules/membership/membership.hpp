/** @file
    The membership module: detects which entry hosts are up.

    The module only makes decisions and performs no I/O. It depends on the
    foundation and platform modules.
*/
#ifndef HIBISCUSFERRY_MEMBERSHIP_MEMBERSHIP_HPP
#define HIBISCUSFERRY_MEMBERSHIP_MEMBERSHIP_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"

// In order of dependency.
#include "membership/messages/membership_message.hpp"
#include "membership/view/membership_view.hpp"

#endif
