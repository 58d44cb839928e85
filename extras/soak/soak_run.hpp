#ifndef HIBISCUSFERRY_EXTRAS_SOAK_SOAK_RUN_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_SOAK_RUN_HPP

#include "soak/fault_driver.hpp"
#include "soak/soak_caller.hpp"

#include <string>

namespace hibiscusferry::soak
{

struct soak_options
{
    std::string program;
    std::string folder;
    std::uint64_t seed = 1;
    /** Traffic without faults comes first. */
    review::milliseconds quiet_time{0};
    review::milliseconds duration{60000};
    /** 0 is up to the seed. */
    int processes = 0;
    int targets = 0;
    int callers = 24;
    /** Whether streams come from prefill and decode engines. */
    bool has_engines = false;
};

/** A fleet of real processes between callers and targets of the rig. */
class soak_run
{
public:
    soak_run(const soak_options& options, const fault_set& faults,
             review::event_record& record);

    /** @returns whether no rule was broken and requests were served */
    bool run();

private:
    void start_fleet();
    bool wait_until_ready();
    /** Adds a target that is not started yet. */
    soak_target& add_target(int number);
    void print_totals();
    /** Prints all accounts of a request. */
    void print(const violation& broken);
    void print_lines(const std::string& path, const std::string& text,
                     const std::string& prefix);

    const soak_options& options_;
    const fault_set& faults_;
    review::event_record& record_;
    seeded_random random_;
    std::string network_;
    request_ledger ledger_;
    review::platform_store store_;
    soak_fleet fleet_;
};

} // namespace hibiscusferry::soak

#endif
