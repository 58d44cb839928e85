/** @file
    The settings module: parsing and validation of TOML settings.

    Contains a validating reader, which collects all problems of a file with
    their lines and the allowed values, and the settings of the daemons. The
    module depends on foundation.
*/
#ifndef HIBISCUSFERRY_SETTINGS_SETTINGS_HPP
#define HIBISCUSFERRY_SETTINGS_SETTINGS_HPP

#include "foundation/foundation.hpp"

#include "settings/process/process_settings.hpp"
#include "settings/toml/checked_table.hpp"
#include "settings/toml/settings_problem.hpp"

#endif
