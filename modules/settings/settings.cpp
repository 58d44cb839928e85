#include "settings/settings.hpp"

#include "settings/process/process_settings.cpp"
#include "settings/toml/checked_table.cpp"
#include "settings/toml/settings_problem.cpp"
