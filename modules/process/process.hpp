/** @file
    The process module: what every daemon is made of.

    The core that all services of a process share, and the main function of
    daemons with settings in TOML. Depends on foundation, settings and http.
*/
#ifndef HIBISCUSFERRY_PROCESS_PROCESS_HPP
#define HIBISCUSFERRY_PROCESS_PROCESS_HPP

#include "foundation/foundation.hpp"

#include "process/core/daemon_main.hpp"
#include "process/core/process_core.hpp"

#endif
