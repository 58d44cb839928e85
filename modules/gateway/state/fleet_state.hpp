#ifndef HIBISCUSFERRY_GATEWAY_STATE_FLEET_STATE_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_FLEET_STATE_HPP

#include "gateway/protocol/host_settings.hpp"
#include "gateway/protocol/target_protocol.hpp"
#include "gateway/state/configuration_lag.hpp"
#include "gateway/state/target_list_confirmation.hpp"
#include "process/process.hpp"
#include "serving/serving.hpp"
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** How an update reached this host, for the log. */
struct update_delay
{
    /** Whether this host reads the store for its availability zone. */
    bool is_relay = false;
    /** How old the knowledge of this host was before the update. */
    std::chrono::milliseconds age_before{0};
    /** How long the read, or the call to the relay, took. */
    std::chrono::milliseconds call_duration{0};
    /** The calls to the store that failed in a row before. */
    unsigned failed_calls = 0;
    /** The size of the row of the configuration. */
    std::size_t row_bytes = 0;
    std::chrono::milliseconds parse_duration{0};
};

/** This host's view of the fleet: the configuration in force, the targets and
    the number of live hosts. Changes are logged when they are applied. Nothing
    is persisted; the state is rebuilt from the table service at every start. */
class fleet_state
{
public:
    fleet_state(process_core& core, const host_settings& settings);

    const host_settings& settings() const;

    /** Applies reloaded settings. */
    void set_settings(const host_settings& settings);

    // =================================================================
    // Configuration

    /** The routes in force, or null before the first configuration. */
    std::shared_ptr<const route_table> routes() const;

    /** Puts a configuration in force, unless the same or a newer version
       already is.
        @param source  origin of the configuration, for the log */
    void update_configuration(fleet_configuration configuration,
                              const std::string& source,
                              const update_delay& delay = {});

    /** Records that the configuration in force was the newest one at a time. */
    void confirm_configuration(time_point as_of);

    /** The latest time at which the configuration in force is known to have
        been the newest one; none if it never was. */
    std::optional<time_point> configuration_confirmed_at() const;

    /** Since when this host has lacked a configuration that others have. */
    configuration_lag& newer_configuration();

    /** Whether a configuration that others have has been missing for so long
        that requests are refused rather than handled as an older one says. */
    bool is_configuration_overdue(time_point now) const;

    /** Whether requests with valid keys will soon be refused, because this host
        cannot tell whether the keys are still valid. */
    bool will_refuse_credentials(time_point now) const;

    /** The longest time limit that a path may have had at any host when a
        stream that may still be resumed began; zero if no route matches. */
    std::chrono::milliseconds longest_time_limit(std::string_view host,
                                                 std::string_view path) const;

    // =================================================================
    // Targets

    target_registry& registry();
    target_catalogue& catalogue();

    /** Whether the list of targets has been received since the start. */
    bool has_target_list() const;
    void mark_target_list_received();

    /** Records that the list of targets was complete at a time. */
    void confirm_target_list(time_point as_of);

    /** Records that the table service has lost some of the rows of targets that
        it had. */
    void mark_target_list_restored();

    /** Lets requests wait for a confirmation of the list of targets. */
    target_list_confirmation& target_list();

    /** The software versions of the targets of each service. */
    const software_version_history& software_versions() const;

    /** Applies changes reported by the catalogue to the registry, and logs
        them. */
    void apply(const std::vector<target_change>& changes,
               const std::string& source);

    /** Records the outcome of an exchange with a target, and logs whether the
        target becomes suspected or available again. */
    void record_outcome(target_view& target, exchange_outcome outcome,
                        const std::string& request_id);

    /** Applies what a target states about itself in a response.
        @param sent_at  when the request of that response was sent */
    void apply_notice(target_view& target, const target_notice& notice,
                      time_point sent_at);

    /** Applies what the other hosts have sent to a target that limits its
        requests.
        @param reports  their sum; null if there is none
        @param hosts    the number of hosts that report */
    void apply_limit_reports(target_view& target,
                             const request_limit_report* reports,
                             std::size_t hosts);

    // =================================================================
    // Budgets

    /** The retry budget of a service. */
    fleet_retry_budget& budget(const std::string& service);

    /** Schedules the stop of this host.
        @param refuse_from    from this time on, requests whose deadline is
       after `last_deadline` are refused
        @param last_deadline  the latest deadline of requests that are not cut
                              off */
    void schedule_stop(time_point refuse_from, time_point last_deadline);

    /** Whether requests are already refused because of a scheduled stop, and
        the stop would cut off a request that lasts until `deadline`. */
    bool will_stop_before(time_point deadline, time_point now) const;

    /** The observed delays of a service's engines against the expected times.
     */
    service_delays& delays(const std::string& service);

    /** What is known of the speed of a service's engines. */
    engine_performance& performance(const std::string& service);

    /** The requests to a service that this host refuses for lack of capacity.
     */
    refusal_meter& refusals(const std::string& service);

    /** The observations of this host for all services with engines. */
    service_observations local_observations(time_point now) const;

    /** Sets the observations of all other hosts. */
    void set_remote_observations(const service_observations& observations,
                                 time_point now);

    std::size_t live_hosts() const;
    void set_live_hosts(std::size_t hosts);

private:
    /** Routes that were in force. */
    struct former_routes
    {
        std::shared_ptr<const route_table> routes;
        /** When the last stream that began with them has ended. */
        time_point last_stream_ends_at;
    };

    /** Keeps the routes in force, which are about to be replaced. */
    void retire_routes();
    void log_request_limit(const target_view& target,
                           const std::string& source);

    process_core& core_;
    host_settings settings_;
    std::shared_ptr<const route_table> routes_;
    std::optional<time_point> configuration_confirmed_at_;
    configuration_lag newer_configuration_;
    std::vector<former_routes> former_routes_;
    target_catalogue catalogue_;
    target_registry registry_;
    software_version_history software_versions_;
    target_list_confirmation target_list_;
    bool has_target_list_ = false;
    std::map<std::string, fleet_retry_budget> budgets_;
    std::map<std::string, service_delays> delays_;
    std::map<std::string, engine_performance> performance_;
    std::map<std::string, refusal_meter> refusals_;
    std::optional<std::pair<time_point, time_point>> stop_;
    std::size_t live_hosts_;
};

} // namespace hibiscusferry

#endif
