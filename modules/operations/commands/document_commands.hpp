#ifndef HIBISCUSFERRY_OPERATIONS_COMMANDS_DOCUMENT_COMMANDS_HPP
#define HIBISCUSFERRY_OPERATIONS_COMMANDS_DOCUMENT_COMMANDS_HPP

#include "operations/commands/command_context.hpp"

namespace hibiscusferry
{

/** check FILE: validates a document without contacting a controller. */
exit_code run_check(const command_context& context);

/** apply FILE: makes the file the current document of its service. */
exit_code run_apply(const command_context& context);

/** show [SERVICE]: prints the document, or all services with their versions. */
exit_code run_show(const command_context& context);

/** history SERVICE: lists the changes of a document. */
exit_code run_history(const command_context& context);

/** diff FILE: prints the difference between the current document and the
    file. */
exit_code run_diff(const command_context& context);

} // namespace hibiscusferry

#endif
