#ifndef HIBISCUSFERRY_PROCESS_CORE_DAEMON_MAIN_HPP
#define HIBISCUSFERRY_PROCESS_CORE_DAEMON_MAIN_HPP

#include "process/core/process_core.hpp"
#include <functional>
#include <string>

namespace hibiscusferry
{

/** Constructs the given services and adds them to the kernel, in this order.

    Each service is constructed with the process core and added under its
    `name` constant.

    @returns the error of the last service that could not be added, if any
*/
template <class... Services>
result<void> add_kernel_services(process_core& core)
{
    std::error_code problem;
    const auto add_service =
        [&core, &problem](const char* name,
                          std::unique_ptr<kernel_service> service)
    {
        const result<void> added =
            core.services().add(name, std::move(service));
        if (!added)
            problem = added.error();
    };
    (add_service(Services::name, std::make_unique<Services>(core)), ...);
    if (problem)
        return problem;
    return outcome::success();
}

/** The main function of a daemon.

    Parses the flags, loads the settings, starts the services that
    `add_services` adds, and runs until a planned shutdown. The flags are
    --settings FILE, --check_settings and those of glog.

    @returns the exit code: 0 after a planned shutdown, 1 if a service failed
             to start, 2 if the flags or the settings are invalid
*/
int daemon_main(int argc, char** argv, const std::string& role,
                const std::function<result<void>(process_core&)>& add_services);

} // namespace hibiscusferry

#endif
