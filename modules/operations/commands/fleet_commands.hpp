#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_FLEET_COMMANDS_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_FLEET_COMMANDS_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** status: prints the readiness, documents and services of every process. */
exit_code run_status(const command_context& context);

/** unresolved: lists calls that may run at most once and whose outcome is
    unknown. */
exit_code run_unresolved(const command_context& context);

/** timeline: prints the events of all processes, merged in time order. */
exit_code run_timeline(const command_context& context);

} // namespace hibiscusferry

#endif
