#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_LINE_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_COMMAND_LINE_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** The main function of ferryctl: parses the flags, looks up the command, and
    runs it.
    @returns the value of an exit_code */
int ferryctl_main(int argc, char** argv);

} // namespace hibiscusferry

#endif
