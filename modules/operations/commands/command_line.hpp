#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_LINE_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_LINE_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** The main function of ferryctl: reads flags, finds the command in the
    table of commands, and runs it.
    @returns one of exit_code */
int ferryctl_main(int argc, char** argv);

} // namespace hibiscusferry

#endif
