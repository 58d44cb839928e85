#ifndef HIBISCUSFERRY_GATEWAY_STATE_STORE_MONITOR_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STORE_MONITOR_HPP

#include "gateway/state/fleet_state.hpp"
#include <chrono>
#include <string>
#include <system_error>

namespace hibiscusferry
{

/** Detects outages of the table service. There is no outage as long as updates
    reach this host, by its own calls or through a relay. */
class store_monitor
{
public:
    store_monitor(process_core& core, fleet_state& fleet);

    /** Begins to watch. The time until then is no outage. */
    void start();

    /** Records that a call of this host succeeded. */
    void record_success();

    /** Records that a relay has read the store.
        @param time  when the relay read it */
    void record_relay_update(const std::string& relay, time_point time);

    /** Records that a call of this host failed. A single failure is not an
        outage. */
    void record_failure(std::error_code error);

    /** Detects the start of an outage. To be called about every 100 ms. */
    void tick();

    /** Whether the most recent calls of this host to the store succeeded; true
        if it has made none. */
    bool is_store_reachable() const;

    /** The number of calls that failed since the last successful one. */
    unsigned consecutive_failures() const;

private:
    void record_update(const std::string& source, time_point time);

    process_core& core_;
    fleet_state& fleet_;
    time_point last_update_at_;
    std::error_code last_error_;
    unsigned consecutive_failures_ = 0;
    bool is_lost_ = false;
};

} // namespace hibiscusferry

#endif
