#ifndef HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_CONFIGURATION_RUN_HPP
#define HIBISCUSFERRY_EXTRAS_CONFIGURATION_SOAK_CONFIGURATION_RUN_HPP

#include "configuration_soak/host_disturbances.hpp"
#include "configuration_soak/version_log.hpp"
#include "soak/request_ledger.hpp"
#include "soak/seeded_random.hpp"
#include "soak/soak_host.hpp"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hibiscusferry::soak
{

struct configuration_options
{
    std::string program;
    std::string folder;
    std::uint64_t seed = 1;
    review::milliseconds duration{30000};
    /** Processes in one availability zone, and in two further ones together. */
    int zone_processes = 24;
    int other_processes = 4;
    /** Relays are lost in turn, and nothing else happens. */
    bool loses_only_relays = false;
};

/** Real processes whose configuration changes while hosts are cut off from the
    store, lose their connections silently, stand still or end.

    Asks every host all the time for the route that the newest version added
    which must be in force. A host that has been undisturbed for long enough
    must not answer that there is no such route.
*/
class configuration_run
{
public:
    configuration_run(const configuration_options& options,
                      review::event_record& record);

    /** @returns whether no host was late */
    bool run();

private:
    struct disturbed_host
    {
        std::unique_ptr<soak_host> host;
        host_disturbances disturbances;
    };

    using fault = void (configuration_run::*)();
    using host_fault = void (configuration_run::*)(disturbed_host& host);

    void add_host(int number, const std::string& availability_zone);
    bool wait_until_ready();
    void end_all();
    void inject_faults();

    void silence_some();
    void silence_all();
    void cut_off_some();
    void stop_some();
    void stop_relays();
    /** Stops each relay shortly after it has been chosen, lets all connections
        to the store become silent, and does the first once more. */
    void stop_relays_in_turn();
    void kill_some();
    void terminate_some();

    /** Disturbs a share of the hosts, each in the same way. */
    void disturb(double share, host_fault inject);
    void disturb(disturbed_host& host, host_fault inject);
    /** The host that another one follows, by its log. */
    static std::string relay_of(const soak_host& host);

    void silence(disturbed_host& host);
    void cut_off(disturbed_host& host);
    void stop(disturbed_host& host);
    void kill(disturbed_host& host);
    void terminate(disturbed_host& host);

    void after(review::milliseconds delay, std::function<void()> task);
    /** Runs a task after a delay, and ends the disturbance of the host then. */
    void end_after(review::milliseconds delay, disturbed_host& host,
                   std::function<void()> task);
    void run_due_tasks();

    /** Asks one host until the run is over. */
    void probe(disturbed_host& host);
    /** The status of the response to a request for a path; 0 without one. */
    int ask(const soak_host& host, const std::string& path,
            const std::string& id) const;

    const configuration_options& options_;
    review::event_record& record_;
    seeded_random random_;
    std::string network_;
    request_ledger ledger_;
    review::platform_store store_;
    version_log versions_;
    std::vector<std::unique_ptr<disturbed_host>> hosts_;
    std::multimap<std::int64_t, std::function<void()>> tasks_;
    std::atomic<bool> is_over_{false};
    std::atomic<int> judged_requests_{0};
};

} // namespace hibiscusferry::soak

#endif
