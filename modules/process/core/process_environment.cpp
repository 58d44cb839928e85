#include "process/core/process_environment.hpp"

#include "process/core/process_signals.hpp"
#include <csignal>
#include <fcntl.h>
#include <unistd.h>

namespace hibiscusferry
{

void prepare_process_environment()
{
    block_signals({SIGTERM, SIGINT});
    std::signal(SIGPIPE, SIG_IGN);
    for (const int descriptor : {STDIN_FILENO, STDOUT_FILENO, STDERR_FILENO})
    {
        // A new descriptor gets the lowest number that is free.
        if (::fcntl(descriptor, F_GETFD) == -1)
            static_cast<void>(::open("/dev/null", O_RDWR));
    }
}

} // namespace hibiscusferry
