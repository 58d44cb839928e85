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

/** What a role_policy is made from. */
struct role_policy_settings
{
    /** From the service's document; the weight scales a change's cost. */
    role_rules rules;
    engine_capacity capacity;
    /** Whether own changes count before reports show them. */
    bool use_expectations = true;
    /** Whether learned periodic patterns are acted on. */
    bool use_forecast = true;
};

/** Why a policy asks for nothing although it might. */
enum class role_hold
{
    none,
    stale_reports, ///< too few routers or engines have reported lately, or
                   ///< the policy has not listened for long enough
    degraded_fleet ///< an engine was lost or is away for another reason
};

/** "none", "stale_reports" or "degraded_fleet". */
std::string_view to_text(role_hold hold);

/** What an operator sees of the policy for one model. */
struct role_pool_status
{
    std::string model;
    role_split split;
    mix_estimate estimate;
    role_hold hold = role_hold::none;
    /** The regret of the present split as a part of a change's cost. */
    double regret = 0;
    /** Whether a periodic pattern is trusted, and its period. */
    bool forecast_trusted = false;
    std::chrono::milliseconds forecast_period{0};
    std::size_t away = 0;
    std::size_t expectations = 0;
};

/** Decides which engines of a service change role as the token mix shifts.

    Each change is rent-or-buy: it is asked for when the regret of not having
    made it reaches its cost (see role_work_function). Short swings are left
    to routing and to mixed engines. The holder of the authority feeds in
    reports and the outcomes of changes, calls decide() about once a second,
    and carries out what it returns. Used from one thread; soft state only:
    a new holder starts with none and learns it from reports within seconds.
*/
class role_policy
{
public:
    /** @returns the policy, or roles_error::invalid_settings */
    static result<role_policy> create(const role_policy_settings& settings);

    /** Takes new rules from a new version of the document. */
    void on_rules(const role_rules& rules);

    //======================================================================
    // What is reported.

    void on_router_report(const router_load_report& report, time_point now);
    /** Also makes an engine known that has not joined yet. */
    void on_engine_report(const engine_report& report, time_point now);
    void on_engine_joined(const engine_report& first, time_point now);
    /** Reports that were taken before do not bring it back. */
    void on_engine_lost(const std::string& engine, time_point now);

    //======================================================================
    // What becomes of the changes asked for, and of anyone else's.

    /** @param deadline  when the order is given up at the latest */
    void on_change_started(const std::string& engine, engine_role to,
                           time_point deadline, time_point now);
    void on_change_finished(const std::string& engine, engine_role role,
                            time_point now);
    void on_change_failed(const std::string& engine, time_point now);

    //======================================================================

    /** The changes to begin now; no engine is named twice while its change
        is neither finished nor failed nor expired. */
    std::vector<role_change> decide(time_point now);

    /** One entry for each model, in the order of their names. */
    std::vector<role_pool_status> status(time_point now);

    /** The engines whose changes expired unseen, since the last call. */
    std::vector<std::string> take_expired();

private:
    struct engine_entry
    {
        engine_report report;
        /** A change was asked for and has not started; until then at most. */
        std::optional<time_point> asked_until;
        /** When the change under way was started. */
        time_point started_at;
        /** A change is under way; the deadline of its order. */
        std::optional<time_point> away_until;
        /** When the last change finished. */
        std::optional<time_point> changed_at;
    };

    struct model_pool
    {
        explicit model_pool(bool use_forecast);

        mix_estimator estimator;
        mix_forecast forecast;
        role_expert_panel experts;
        /** Averages of the loss that was charged and of the one seen. */
        double charged_loss = 0;
        double seen_loss = 0;
        /** When the first engine of the pool was heard of. */
        time_point known_since;
        time_point updated_at;
        time_point lost_at;
        role_hold hold = role_hold::none;
    };

    explicit role_policy(const role_policy_settings& settings);

    model_pool& pool_of(const std::string& model);
    engine_role effective_role(const engine_entry& entry) const;
    bool is_away(const engine_entry& entry) const;
    bool can_change(const engine_entry& entry, time_point now) const;
    role_split split_of(const std::string& model) const;
    std::size_t away_count() const;
    std::size_t away_limit() const;
    double loss_scale(model_pool& pool, const engine_demand& demand,
                      const role_split& split, const mix_estimate& estimate,
                      std::chrono::nanoseconds elapsed) const;
    void learn_away_duration(std::chrono::nanoseconds sample);
    expert_settings settings_for_experts() const;
    role_hold hold_of(const std::string& model, const model_pool& pool,
                      const mix_estimate& estimate, time_point now) const;
    void expire(time_point now);
    void decide_for(const std::string& model, model_pool& pool, time_point now,
                    std::vector<role_change>& changes);
    /** The nearest split with as many mixed engines as the document asks. */
    role_split with_least_mixed(const role_split& split) const;
    role_split target_of(model_pool& pool, const role_split& present,
                         change_reason& reason) const;
    bool ask_for(const std::string& model, engine_role from, engine_role to,
                 change_reason reason, time_point now,
                 std::vector<role_change>& changes);
    const std::string* best_engine(const std::string& model, engine_role from,
                                   time_point now) const;

    role_policy_settings settings_;
    std::map<std::string, engine_entry> engines_;
    std::map<std::string, time_point> lost_engines_;
    std::map<std::string, model_pool> pools_;
    change_expectations expectations_;
    /** Mean time from a change's start to its end; zero when none is known. */
    std::chrono::nanoseconds away_duration_{0};
    std::vector<std::string> expired_;
};

} // namespace hibiscusferry

#endif
