#include "process/core/daemon_main.hpp"

#include "process/core/process_environment.hpp"
#include <gflags/gflags.h>
#include <glog/logging.h>
#include <iostream>

DEFINE_string(settings, "", "path of the daemon's settings file (TOML)");
DEFINE_bool(check_settings, false, "validate the settings and exit");

namespace hibiscusferry
{

int daemon_main(int argc, char** argv, const std::string& role,
                const std::function<result<void>(process_core&)>& add_services)
{
    prepare_process_environment();
    FLAGS_logtostderr = true;
    gflags::SetUsageMessage("--settings FILE [--check_settings]");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    google::InitGoogleLogging(argv[0]);
    if (FLAGS_settings.empty())
    {
        std::cerr << argv[0] << ": missing required flag --settings FILE\n";
        return 2;
    }
    const process_settings_result loaded_settings =
        load_process_settings(FLAGS_settings);
    if (!loaded_settings.settings)
    {
        std::cerr << to_text(loaded_settings.problems);
        return 2;
    }
    if (FLAGS_check_settings)
    {
        std::cout << FLAGS_settings << ": settings are valid\n";
        return 0;
    }

    process_core core(role, *loaded_settings.settings);
    const result<void> added = add_services(core);
    const result<void> started = added ? core.services().start() : added;
    if (!started)
    {
        std::cerr << argv[0] << ": " << started.error().message() << ": "
                  << core.services().failed_service()
                  << "; see the log for details\n";
        return 1;
    }
    core.run();
    return 0;
}

} // namespace hibiscusferry
