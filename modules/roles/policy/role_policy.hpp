#ifndef HIBISCUSFERRY_ROLES_POLICY_ROLE_POLICY_HPP
#define HIBISCUSFERRY_ROLES_POLICY_ROLE_POLICY_HPP

#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include "roles/estimate/mix_estimator.hpp"
#include "roles/estimate/mix_forecast.hpp"
#include "roles/model/engine_report.hpp"
#include "roles/model/role_change.hpp"
#include "roles/model/role_split.hpp"
#include "roles/policy/change_expectations.hpp"
#include "roles/policy/role_expert_panel.hpp"
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The settings of a role_policy. */
struct role_policy_settings
{
    /** The rules in the service document. The cost of a change is divided by
        the goodput weight. */
    role_rules rules;
    engine_capacity capacity;
    /** Whether ordered changes count as effective before reports confirm
        them. */
    bool use_expectations = true;
    /** Whether decisions use the predicted demand while a period is trusted. */
    bool use_forecast = true;
};

/** The reason for which a policy currently requests no changes. */
enum class role_hold
{
    none,
    stale_reports, ///< too few routers or engines have reported recently, or
                   ///< the policy is still discovering the fleet
    degraded_fleet ///< an engine was lost recently or is not reporting
};

/** @returns "none", "stale_reports" or "degraded_fleet" */
std::string_view to_text(role_hold hold);

/** The status of the policy for one model, for display to operators. */
struct role_pool_status
{
    std::string model;
    role_split split;
    mix_estimate estimate;
    role_hold hold = role_hold::none;
    /** The regret of the current split as a fraction of the cost of the
        change. */
    double regret = 0;
    /** Whether the demand forecast trusts a period. */
    bool forecast_trusted = false;
    std::chrono::milliseconds forecast_period{0};
    std::size_t unavailable = 0;
    std::size_t expectations = 0;
};

/** Decides which engines of a service change role as the token mix shifts.

    Each change is a rent-or-buy decision: it is requested when the regret of
    not having made it reaches its cost (see role_work_function). Short
    fluctuations are left to routing and to the mixed engines. The lease holder
    of the service's authority passes in reports and the outcomes of changes,
    calls decide() about once per second, and orders the changes that it
    returns.

    Not thread-safe. All state is soft: a new lease holder starts without any
    and rebuilds it from reports within seconds.
*/
class role_policy
{
public:
    /** @returns the policy, or roles_error::invalid_settings */
    static result<role_policy> create(const role_policy_settings& settings);

    /** Replaces the rules with those of a new document version. */
    void on_rules(const role_rules& rules);

    //======================================================================
    // Reports.

    void on_router_report(const router_load_report& report, time_point now);
    /** Also adds the engine if it is not in the fleet yet. */
    void on_engine_report(const engine_report& report, time_point now);
    void on_engine_joined(const engine_report& first_report, time_point now);
    /** Removes an engine. Reports measured before `now` do not add it again. */
    void on_engine_lost(const std::string& engine, time_point now);

    //======================================================================
    // Outcomes of changes, including changes requested by others.

    /** @param deadline  the deadline of the order */
    void on_change_started(const std::string& engine, engine_role to,
                           time_point deadline, time_point now);
    void on_change_finished(const std::string& engine, engine_role role,
                            time_point now);
    void on_change_failed(const std::string& engine, time_point now);

    //======================================================================

    /** Returns the changes to start now. An engine is not returned again until
        its change has finished, failed or expired. */
    std::vector<role_change> decide(time_point now);

    /** Returns one entry per model, sorted by name. */
    std::vector<role_pool_status> status(time_point now);

    /** Returns the engines whose changes expired unconfirmed since the last
        call. */
    std::vector<std::string> take_expired();

private:
    struct engine_entry
    {
        engine_report report;
        /** Set while a requested change has not started: the time by which it
            must start. */
        std::optional<time_point> start_deadline;
        /** The start of the current or most recent change. */
        time_point change_started_at;
        /** Set while a change is in progress: the deadline of its order. */
        std::optional<time_point> change_deadline;
        /** The time at which the last change finished or failed. */
        std::optional<time_point> last_change_at;
    };

    struct model_pool
    {
        explicit model_pool(bool use_forecast);

        mix_estimator estimator;
        mix_forecast forecast;
        role_expert_panel experts;
        /** Exponential averages of the modelled loss and of the loss observed
            in refusals, in engines. */
        double modelled_loss = 0;
        double observed_loss = 0;
        /** The time of the first report from an engine of the pool. */
        time_point first_report_at;
        time_point updated_at;
        time_point engine_lost_at;
        role_hold hold = role_hold::none;
    };

    explicit role_policy(const role_policy_settings& settings);

    model_pool& pool_of(const std::string& model);
    engine_role effective_role(const engine_entry& entry) const;
    bool is_unavailable(const engine_entry& entry) const;
    bool can_change(const engine_entry& entry, time_point now) const;
    role_split split_of(const std::string& model) const;
    std::size_t unavailable_count() const;
    std::size_t unavailable_limit() const;
    double loss_scale(model_pool& pool, const engine_demand& demand,
                      const role_split& split, const mix_estimate& estimate,
                      std::chrono::nanoseconds elapsed) const;
    void update_change_duration(std::chrono::nanoseconds sample);
    expert_settings settings_for_experts() const;
    role_hold find_hold(const std::string& model, const model_pool& pool,
                        const mix_estimate& estimate, time_point now) const;
    void expire(time_point now);
    void decide_for(const std::string& model, model_pool& pool, time_point now,
                    std::vector<role_change>& changes);
    /** The closest split with the minimum number of mixed engines that the
        document requires. */
    role_split with_min_mixed(const role_split& split) const;
    role_split target_of(model_pool& pool, const role_split& current,
                         change_reason& reason) const;
    bool request_change(const std::string& model, engine_role from,
                        engine_role to, change_reason reason, time_point now,
                        std::vector<role_change>& changes);
    const std::string* select_engine(const std::string& model, engine_role from,
                                     time_point now) const;

    role_policy_settings settings_;
    std::map<std::string, engine_entry> engines_;
    std::map<std::string, time_point> lost_engines_;
    std::map<std::string, model_pool> pools_;
    change_expectations expectations_;
    /** The mean time from the start to the end of a change; zero until one
        has finished. */
    std::chrono::nanoseconds mean_change_duration_{0};
    std::vector<std::string> expired_engines_;
};

} // namespace hibiscusferry

#endif
