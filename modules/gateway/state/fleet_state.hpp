#ifndef HIBISCUSFERRY_GATEWAY_STATE_FLEET_STATE_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_FLEET_STATE_HPP

#include "gateway/protocol/host_settings.hpp"
#include "process/process.hpp"
#include "serving/serving.hpp"
#include <map>
#include <memory>
#include <string>

namespace hibiscusferry
{

/** What this host believes of the fleet: the configuration in force, the
    targets, the other hosts. Changes are logged as they are taken over. Soft
    state; rebuilt from the table service at every start. */
class fleet_state
{
public:
    fleet_state(process_core& core, const host_settings& settings);

    const host_settings& settings() const;

    /** Takes over settings that were read again. */
    void set_settings(const host_settings& settings);

    // =================================================================
    // Configuration

    /** The routes in force, or null before any is known. */
    std::shared_ptr<const route_table> routes() const;

    /** Puts a configuration in force, unless a newer one already is.
        @param source  where it was heard, for the log */
    void update_configuration(fleet_configuration configuration,
                              const std::string& source);

    // =================================================================
    // Targets

    target_registry& registry();
    target_catalogue& catalogue();

    /** Whether the list of targets was ever read. */
    bool knows_targets() const;
    void mark_target_list_received();

    /** Carries out what the catalogue has found. */
    void apply(const std::vector<target_change>& changes,
               const std::string& source);

    /** Tells of an exchange with a target, and logs a change of belief. */
    void record_outcome(target_view& target, exchange_outcome outcome,
                        const std::string& request_id);

    // =================================================================
    // Budgets

    fleet_retry_budget& budget(const std::string& service);

    /** This host is stopping: what cannot be answered before `ends` is not
        begun any more from `refuses_from` on. */
    void schedule_stop(time_point refuses_from, time_point ends);

    /** Whether a request that may last until its deadline would be cut by
        the stop. */
    bool stops_before(time_point deadline, time_point now) const;

    /** How much longer the engines of a service take than expected. */
    service_delays& delays(const std::string& service);

    std::size_t live_hosts() const;
    void set_live_hosts(std::size_t hosts);

private:
    process_core& core_;
    host_settings settings_;
    std::shared_ptr<const route_table> routes_;
    target_catalogue catalogue_;
    target_registry registry_;
    bool knows_targets_ = false;
    std::map<std::string, fleet_retry_budget> budgets_;
    std::map<std::string, service_delays> delays_;
    std::optional<std::pair<time_point, time_point>> stop_;
    std::size_t live_hosts_;
};

} // namespace hibiscusferry

#endif
