#include "configuration_soak/configuration_run.hpp"

#include <csignal>
#include <gflags/gflags.h>

// Judges from outside whether real processes have each configuration in force
// in time while hosts are disturbed. The exit status is 1 if one was late.

DEFINE_uint64(seed, 1, "Determines the faults and the changes.");
DEFINE_int32(duration, 30, "Seconds during which faults are injected.");
DEFINE_int32(zone_processes, 24, "Processes in one availability zone.");
DEFINE_int32(other_processes, 4, "Processes in two further zones.");
DEFINE_bool(only_relays, false, "Lose relays in turn, and nothing else.");
DEFINE_string(program, "build/hibiscusferry", "The program under test.");
DEFINE_bool(keep_logs, false, "Keep the folder of the run.");

int main(int argc, char** argv)
{
    using namespace hibiscusferry::soak;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    configuration_options options;
    options.program = FLAGS_program;
    options.folder = review::temporary_folder();
    options.seed = FLAGS_seed;
    options.duration = std::chrono::seconds(FLAGS_duration);
    options.zone_processes = FLAGS_zone_processes;
    options.other_processes = FLAGS_other_processes;
    options.loses_only_relays = FLAGS_only_relays;
    review::event_record record(options.folder + "/record.txt");
    configuration_run run(options, record);
    const bool is_passed = run.run();
    if (!FLAGS_keep_logs)
        review::finish(is_passed ? 0 : 1, options.folder);
    record.say("logs: " + options.folder);
    // Threads of the stand-ins are still running.
    std::_Exit(is_passed ? 0 : 1);
}
