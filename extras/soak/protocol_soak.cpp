#include "soak/soak_run.hpp"

#include <csignal>
#include <cstdio>
#include <gflags/gflags.h>

// Judges from outside what callers and targets of real processes see while
// faults are injected. The exit status is 1 if a rule was broken.

DEFINE_uint64(seed, 1, "Determines the faults and the requests.");
DEFINE_int32(
    quiet, -1,
    "Seconds of traffic before the first fault; -1 is up to the seed.");
DEFINE_int32(duration, 60, "Seconds during which faults are injected.");
DEFINE_int32(processes, 0, "Processes of the system; 0 is up to the seed.");
DEFINE_int32(targets, 0, "Targets; 0 is up to the seed.");
DEFINE_int32(callers, 24, "Callers that send requests at the same time.");
DEFINE_int32(engines, -1,
             "Whether streams come from prefill and decode engines, 0 or 1; "
             "-1 is up to the seed.");
DEFINE_string(faults, "default", "Names of faults, separated by commas.");
DEFINE_string(program, "build/hibiscusferry", "The program under test.");
DEFINE_bool(keep_logs, false, "Keep the folder of the run.");

int main(int argc, char** argv)
{
    using namespace hibiscusferry::soak;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::string problem;
    const fault_set faults(FLAGS_faults, problem);
    if (!problem.empty())
    {
        std::fprintf(stderr, "unknown fault '%s'; known are: %s\n",
                     problem.c_str(), fault_set::known_names().c_str());
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    soak_options options;
    options.program = FLAGS_program;
    options.folder = review::temporary_folder();
    options.seed = FLAGS_seed;
    // Hosts infer a version only from a list that they have known for long.
    constexpr int long_quiet_time = 14;
    options.quiet_time =
        std::chrono::seconds(FLAGS_quiet >= 0      ? FLAGS_quiet
                             : FLAGS_seed % 4 == 1 ? long_quiet_time
                                                   : 0);
    options.duration = std::chrono::seconds(FLAGS_duration);
    options.processes = FLAGS_processes;
    options.targets = FLAGS_targets;
    options.callers = FLAGS_callers;
    options.has_engines =
        FLAGS_engines < 0 ? FLAGS_seed % 3 == 0 : FLAGS_engines > 0;
    review::event_record record(options.folder + "/record.txt");
    soak_run run(options, faults, record);
    const bool is_passed = run.run();
    if (!FLAGS_keep_logs)
        review::finish(is_passed ? 0 : 1, options.folder);
    std::printf("logs: %s\n", options.folder.c_str());
    std::fflush(nullptr);
    // Threads of the stand-ins are still running.
    std::_Exit(is_passed ? 0 : 1);
}
