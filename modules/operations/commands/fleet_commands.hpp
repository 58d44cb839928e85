#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_FLEET_COMMANDS_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_FLEET_COMMANDS_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** status: every process with its readiness, documents and services. */
exit_code run_status(const command_context& context);

/** unresolved: calls that may run only once and whose outcome is unknown. */
exit_code run_unresolved(const command_context& context);

/** timeline: the events of all processes in one order. */
exit_code run_timeline(const command_context& context);

} // namespace hibiscusferry

#endif
