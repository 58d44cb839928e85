#include "process/process.hpp"

#include "process/core/daemon_main.cpp"
#include "process/core/process_core.cpp"
