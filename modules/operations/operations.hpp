/** @file
    The operations module: the command-line client for operators.

    Contains the commands of ferryctl, the HTTP calls they make, and the
    timeline merged from all processes. Depends on foundation, settings,
   document and http.
*/
#ifndef HIBISCUSFERRY_OPERATIONS_OPERATIONS_HPP
#define HIBISCUSFERRY_OPERATIONS_OPERATIONS_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "http/http.hpp"
#include "settings/settings.hpp"

#include "operations/client/client_settings.hpp"
#include "operations/client/operator_client.hpp"
#include "operations/commands/command_context.hpp"
#include "operations/commands/command_line.hpp"
#include "operations/commands/document_commands.hpp"
#include "operations/commands/fleet_commands.hpp"
#include "operations/timeline/merged_timeline.hpp"
#include "operations/timeline/timeline_page.hpp"

#endif
