#include "gateway/state/store_monitor.hpp"

namespace hibiscusferry
{

namespace
{

/** Updates arrive about once a second; a single lost update is no outage. */
constexpr std::chrono::milliseconds outage_threshold{1500};

/** Number of consecutive failures that a single lost connection cannot cause.
 */
constexpr unsigned unreachable_failure_threshold = 2;

} // namespace

store_monitor::store_monitor(process_core& core, fleet_state& fleet)
    : core_(core)
    , fleet_(fleet)
    , last_update_at_(core.now())
{
}

void store_monitor::start()
{
    last_update_at_ = core_.now();
}

void store_monitor::record_success()
{
    consecutive_failures_ = 0;
    record_update("store", core_.now());
}

void store_monitor::record_relay_update(const std::string& relay,
                                        time_point time)
{
    record_update("relay " + relay, time);
}

void store_monitor::record_update(const std::string& source, time_point time)
{
    if (time <= last_update_at_)
        return;
    const std::chrono::milliseconds silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(time -
                                                              last_update_at_);
    last_update_at_ = time;
    if (!is_lost_ || core_.now() - time > outage_threshold)
        return;
    is_lost_ = false;
    core_.journal().record(
        event_number::store_regained,
        {{"silent_ms", std::to_string(silence.count())}, {"source", source}});
    fleet_.catalogue().store_recovered(core_.now());
}

void store_monitor::record_failure(std::error_code error)
{
    core_.metrics().counter_of("hibiscusferry_store_failures_total").add();
    last_error_ = error;
    ++consecutive_failures_;
    tick();
}

void store_monitor::tick()
{
    const std::chrono::milliseconds silence =
        std::chrono::duration_cast<std::chrono::milliseconds>(core_.now() -
                                                              last_update_at_);
    if (is_lost_ || silence < outage_threshold)
        return;
    is_lost_ = true;
    core_.journal().record(event_number::store_lost,
                           {{"error", last_error_.message()},
                            {"silent_ms", std::to_string(silence.count())}});
    fleet_.catalogue().store_lost();
}

bool store_monitor::is_store_reachable() const
{
    return consecutive_failures_ < unreachable_failure_threshold;
}

unsigned store_monitor::consecutive_failures() const
{
    return consecutive_failures_;
}

} // namespace hibiscusferry
