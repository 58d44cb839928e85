/** @file
    The settings module: TOML texts, checked whole.

    A reader that collects every problem of a text with its line and what is
    allowed, and the settings of the daemons. Depends on foundation.
*/
#ifndef HIBISCUSFERRY_SETTINGS_SETTINGS_HPP
#define HIBISCUSFERRY_SETTINGS_SETTINGS_HPP

#include "foundation/foundation.hpp"

#include "settings/process/process_settings.hpp"
#include "settings/toml/checked_table.hpp"
#include "settings/toml/settings_problem.hpp"

#endif
