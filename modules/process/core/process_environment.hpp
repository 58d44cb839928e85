#ifndef HIBISCUSFERRY_PROCESS_CORE_PROCESS_ENVIRONMENT_HPP
#define HIBISCUSFERRY_PROCESS_CORE_PROCESS_ENVIRONMENT_HPP

namespace hibiscusferry
{

/** Makes the process independent of how it was started. To be called first in
    main, before any file is opened.

    SIGTERM and SIGINT are blocked until process_core::run() handles them.
   SIGPIPE is ignored, so that the process does not end with the reader of its
   log. Standard descriptors that are closed are opened on /dev/null; otherwise
    a descriptor of the event loop or a connection would get one of their
    numbers, and log lines would be written to it.
*/
void prepare_process_environment();

} // namespace hibiscusferry

#endif
