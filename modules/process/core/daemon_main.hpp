#ifndef HIBISCUSFERRY_PROCESS_CORE_DAEMON_MAIN_HPP
#define HIBISCUSFERRY_PROCESS_CORE_DAEMON_MAIN_HPP

#include "process/core/process_core.hpp"
#include <functional>
#include <string>

namespace hibiscusferry
{

/** Adds services to the process's kernel, in this order, each made from the
    process and named by its class. */
template <class... Services>
result<void> add_kernel_services(process_core& core)
{
    std::error_code problem;
    const auto add_one = [&core, &problem](const char* name,
                                           std::unique_ptr<kernel_service> part)
    {
        const result<void> added = core.services().add(name, std::move(part));
        if (!added)
            problem = added.error();
    };
    (add_one(Services::name, std::make_unique<Services>(core)), ...);
    if (problem)
        return problem;
    return outcome::success();
}

/** The main function of a daemon: reads flags and settings, starts the
    services that `add_services` adds, and runs until a planned stop.

    Flags: --settings FILE, --check_settings, and those of glog.
    @returns 0 after a planned stop, 1 when a service did not start, 2 for
             bad flags or settings
*/
int daemon_main(int argc, char** argv, const std::string& role,
                const std::function<result<void>(process_core&)>& add_services);

} // namespace hibiscusferry

#endif
