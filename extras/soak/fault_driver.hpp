#ifndef HIBISCUSFERRY_EXTRAS_SOAK_FAULT_DRIVER_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_FAULT_DRIVER_HPP

#include "soak/fault_set.hpp"
#include "soak/seeded_random.hpp"
#include "soak/soak_host.hpp"
#include "soak/soak_target.hpp"
#include "soak/tcp_proxy.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace hibiscusferry::soak
{

/** All that faults are injected into. */
struct soak_fleet
{
    review::platform_store& store;
    review::event_record& record;
    std::vector<std::unique_ptr<soak_host>> hosts;
    std::vector<std::unique_ptr<soak_target>> targets;
    std::vector<std::unique_ptr<tcp_proxy>> target_proxies;
};

/** Injects faults from outside, one after the other and overlapping. */
class fault_driver
{
public:
    fault_driver(std::uint64_t seed, soak_fleet& fleet, const fault_set& faults,
                 bool has_engines);

    /** Injects faults for a time, and watches the processes. */
    void run(review::milliseconds duration);
    /** Ends all faults that last, and lets the fleet settle. */
    void recover(review::milliseconds duration);

private:
    using action = void (fault_driver::*)();

    struct fault
    {
        const char* name;
        int weight;
        action inject;
    };

    static const std::vector<fault>& faults();
    void inject_next();
    void after(review::milliseconds delay, std::function<void()> task);
    /** Runs the tasks that are due, and watches the processes. */
    void step();

    void stop_host();
    void stutter_host();
    void stop_all_hosts();
    void isolate_host();
    void kill_host();
    void kill_all_hosts();
    void terminate_host();
    void reload_settings();
    void change_configuration();
    void disturb_targets();
    void disturb_store();
    void crash_target();
    void drain_target();
    void release();

    void disturb(tcp_proxy& proxy, const std::string& name);
    void start_when_ended(soak_host& host);
    void update(soak_target& target, const std::string& version);
    soak_host& any_host();
    soak_target& any_target();
    /** Whether enough targets of a service would be left without one. */
    bool may_end(const soak_target& target);
    std::string version() const;

    seeded_random random_;
    soak_fleet& fleet_;
    const fault_set& faults_;
    const bool has_engines_;
    std::multimap<std::int64_t, std::function<void()>> tasks_;
    std::int64_t next_fault_ms_ = 0;
    /** The longest time between two faults. */
    const int max_interval_ms_;
    int configuration_version_ = 1;
    int release_ = 1;
};

} // namespace hibiscusferry::soak

#endif
