#include "process/process.hpp"

#include "process/core/daemon_main.cpp"
#include "process/core/process_core.cpp"
#include "process/core/process_environment.cpp"
#include "process/core/process_signals.cpp"
