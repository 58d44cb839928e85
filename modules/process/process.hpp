/** @file
    The process module: the common base of all daemons.

    Contains the process core, whose resources all services of a process
    share, and the main function of daemons that read their settings from a
    TOML file. The module depends on foundation, settings and http.
*/
#ifndef HIBISCUSFERRY_PROCESS_PROCESS_HPP
#define HIBISCUSFERRY_PROCESS_PROCESS_HPP

#include "foundation/foundation.hpp"

#include "process/core/daemon_main.hpp"
#include "process/core/process_core.hpp"
#include "process/core/process_environment.hpp"
#include "process/core/process_signals.hpp"

#endif
