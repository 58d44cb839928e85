#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_DOCUMENT_COMMANDS_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_DOCUMENT_COMMANDS_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** check FILE: reads and checks a document without any controller. */
exit_code run_check(const command_context& context);

/** apply FILE: makes the file the document of its service. */
exit_code run_apply(const command_context& context);

/** show [SERVICE]: the document, or all services with their versions. */
exit_code run_show(const command_context& context);

/** history SERVICE: the changes of a document. */
exit_code run_history(const command_context& context);

/** diff FILE: how the file differs from the document in force. */
exit_code run_diff(const command_context& context);

} // namespace hibiscusferry

#endif
