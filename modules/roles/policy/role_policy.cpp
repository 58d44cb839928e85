#include "roles/policy/role_policy.hpp"

#include "roles/errors/roles_error.hpp"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace hibiscusferry
{

namespace
{

/** No changes are requested while the confidence in the routers' reports is
    lower. */
constexpr double min_confidence = 0.6;
/** An engine whose last report was measured longer ago counts as silent. */
constexpr std::chrono::seconds max_engine_report_age{30};
/** A new lease holder requests no changes for this period after the first
    report, so that an engine which has not reported yet is not mistaken for a
    missing one. */
constexpr std::chrono::seconds fleet_discovery_period{20};
/** The maximum delay of a report. Lost engines are remembered for this long to
    ignore their delayed reports. */
constexpr std::chrono::minutes max_report_delay{5};
/** No changes are requested for this period after an engine was lost. */
constexpr std::chrono::seconds hold_after_engine_loss{20};
/** A requested change expires if it has not started within this period. */
constexpr std::chrono::seconds change_start_timeout{30};
/** The maximum duration charged at once, so that a pause of the process is not
    charged in full. */
constexpr std::chrono::seconds max_charged_duration{5};
/** The delay of the averaged demand behind the actual demand. It results from
    averaging and from counting the tokens of a stream as they are generated. */
constexpr std::chrono::seconds estimate_lag{5};
/** The time constant for comparing the modelled loss with the observed one. */
constexpr std::chrono::seconds loss_scale_time_constant{30};
/** The minimum factor applied to modelled losses. Refusals understate the loss
    because routers may queue requests instead of refusing them. */
constexpr double min_loss_scale = 0.3;
/** The number of predicted slots that a plan covers. */
constexpr std::size_t planning_horizon_slots = 30;
/** The minimum goodput weight used, which avoids a division by zero. At this
    weight only the number of changes matters. */
constexpr double min_goodput_weight = 0.001;

bool are_valid(const role_policy_settings& settings)
{
    const engine_capacity& capacity = settings.capacity;
    return settings.rules.goodput_weight >= 0 &&
           settings.rules.goodput_weight <= 1 &&
           settings.rules.change_duration.count() > 0 &&
           capacity.prefill_tokens_per_second > 0 &&
           capacity.decode_tokens_per_second > 0 &&
           capacity.mixed_efficiency > 0 && capacity.mixed_efficiency <= 1;
}

} // namespace

std::string_view to_text(role_hold hold)
{
    switch (hold)
    {
    case role_hold::stale_reports:
        return "stale_reports";
    case role_hold::degraded_fleet:
        return "degraded_fleet";
    case role_hold::none:
        break;
    }
    return "none";
}

role_policy::model_pool::model_pool(bool use_forecast)
    : experts(use_forecast)
{
}

role_policy::role_policy(const role_policy_settings& settings)
    : settings_(settings)
{
}

result<role_policy> role_policy::create(const role_policy_settings& settings)
{
    if (!are_valid(settings))
        return make_error_code(roles_error::invalid_settings);
    return role_policy(settings);
}

void role_policy::on_rules(const role_rules& rules)
{
    settings_.rules = rules;
}

void role_policy::on_router_report(const router_load_report& report,
                                   time_point now)
{
    pool_of(report.model).estimator.on_report(report, now);
}

void role_policy::on_engine_report(const engine_report& report, time_point now)
{
    const std::map<std::string, time_point>::const_iterator lost_engine =
        lost_engines_.find(report.engine);
    if (lost_engine != lost_engines_.end() &&
        report.measured_at <= lost_engine->second)
        return;
    model_pool& pool = pool_of(report.model);
    if (pool.first_report_at == time_point())
        pool.first_report_at = now;
    engine_entry& entry = engines_[report.engine];
    if (!entry.report.engine.empty() &&
        report.measured_at <= entry.report.measured_at)
        return;
    entry.report = report;
    expectations_.on_report(report, now);
    // After the deadline, the order can no longer make the engine unavailable.
    if (entry.change_deadline && report.measured_at > *entry.change_deadline &&
        report.state == engine_state::serving)
        entry.change_deadline.reset();
}

void role_policy::on_engine_joined(const engine_report& first_report,
                                   time_point now)
{
    on_engine_report(first_report, now);
}

void role_policy::on_engine_lost(const std::string& engine, time_point now)
{
    const std::map<std::string, engine_entry>::iterator entry =
        engines_.find(engine);
    if (entry == engines_.end())
        return;
    pool_of(entry->second.report.model).engine_lost_at = now;
    engines_.erase(entry);
    lost_engines_[engine] = now;
    expectations_.remove_engine(engine);
}

void role_policy::on_change_started(const std::string& engine, engine_role to,
                                    time_point deadline, time_point now)
{
    const std::map<std::string, engine_entry>::iterator entry =
        engines_.find(engine);
    if (entry == engines_.end())
        return;
    entry->second.start_deadline.reset();
    entry->second.change_deadline = deadline;
    entry->second.change_started_at = now;
    if (settings_.use_expectations)
        expectations_.expect(engine, to, deadline, now);
}

void role_policy::on_change_finished(const std::string& engine,
                                     engine_role role, time_point now)
{
    const std::map<std::string, engine_entry>::iterator entry =
        engines_.find(engine);
    if (entry == engines_.end())
        return;
    entry->second.start_deadline.reset();
    if (entry->second.change_deadline)
        update_change_duration(now - entry->second.change_started_at);
    entry->second.change_deadline.reset();
    entry->second.last_change_at = now;
    if (settings_.use_expectations)
    {
        expectations_.expect(engine, role, now, now);
        expectations_.on_finished(engine, now);
    }
}

void role_policy::on_change_failed(const std::string& engine, time_point now)
{
    const std::map<std::string, engine_entry>::iterator entry =
        engines_.find(engine);
    if (entry == engines_.end())
        return;
    entry->second.start_deadline.reset();
    entry->second.change_deadline.reset();
    entry->second.last_change_at = now;
    expectations_.withdraw(engine);
}

std::vector<role_change> role_policy::decide(time_point now)
{
    expire(now);
    std::vector<role_change> changes;
    for (std::map<std::string, model_pool>::iterator pool = pools_.begin();
         pool != pools_.end(); ++pool)
        decide_for(pool->first, pool->second, now, changes);
    return changes;
}

std::vector<role_pool_status> role_policy::status(time_point now)
{
    std::vector<role_pool_status> pools;
    for (std::map<std::string, model_pool>::iterator entry = pools_.begin();
         entry != pools_.end(); ++entry)
    {
        model_pool& pool = entry->second;
        role_pool_status pool_status;
        pool_status.model = entry->first;
        pool_status.split = split_of(entry->first);
        pool_status.estimate = pool.estimator.estimate(now);
        pool_status.hold = pool.hold;
        pool_status.regret = pool.experts.selected().regret(pool_status.split);
        pool_status.forecast_trusted = pool.forecast.trusted_period() != 0;
        pool_status.forecast_period =
            mix_forecast::slot_duration *
            static_cast<std::int64_t>(pool.forecast.trusted_period());
        pool_status.unavailable = unavailable_count();
        pool_status.expectations = expectations_.size();
        pools.push_back(pool_status);
    }
    return pools;
}

std::vector<std::string> role_policy::take_expired()
{
    std::vector<std::string> expired_engines;
    expired_engines.swap(expired_engines_);
    return expired_engines;
}

role_policy::model_pool& role_policy::pool_of(const std::string& model)
{
    return pools_.try_emplace(model, settings_.use_forecast).first->second;
}

engine_role role_policy::effective_role(const engine_entry& entry) const
{
    return expectations_.expected_role(entry.report.engine)
        .value_or(entry.report.role);
}

bool role_policy::is_unavailable(const engine_entry& entry) const
{
    if (entry.start_deadline || entry.change_deadline)
        return true;
    // A report measured before the last change ended shows an outdated state.
    const bool is_outdated = entry.last_change_at &&
                             entry.report.measured_at <= *entry.last_change_at;
    return entry.report.state == engine_state::changing && !is_outdated;
}

bool role_policy::can_change(const engine_entry& entry, time_point now) const
{
    return !is_unavailable(entry) &&
           entry.report.state != engine_state::leaving &&
           now - entry.report.measured_at <= max_engine_report_age;
}

role_split role_policy::split_of(const std::string& model) const
{
    role_split split;
    for (const std::pair<const std::string, engine_entry>& item : engines_)
    {
        const engine_entry& entry = item.second;
        if (entry.report.model == model &&
            entry.report.state != engine_state::leaving)
            ++split.of(effective_role(entry));
    }
    return split;
}

std::size_t role_policy::unavailable_count() const
{
    return static_cast<std::size_t>(std::count_if(
        engines_.begin(), engines_.end(),
        [this](const std::pair<const std::string, engine_entry>& item)
        { return is_unavailable(item.second); }));
}

std::size_t role_policy::unavailable_limit() const
{
    return settings_.rules.max_unavailable;
}

double role_policy::loss_scale(model_pool& pool, const engine_demand& demand,
                               const role_split& split,
                               const mix_estimate& estimate,
                               std::chrono::nanoseconds elapsed) const
{
    const double weight =
        1.0 - std::exp(-std::chrono::duration<double>(elapsed) /
                       std::chrono::duration<double>(loss_scale_time_constant));
    const double modelled =
        loss_rate(split, demand, settings_.capacity.mixed_efficiency);
    const double observed =
        estimate.refused_fraction * (demand.prefill + demand.decode);
    pool.modelled_loss += weight * (modelled - pool.modelled_loss);
    pool.observed_loss += weight * (observed - pool.observed_loss);
    if (pool.modelled_loss <= pool.observed_loss)
        return 1.0;
    return std::max(min_loss_scale, pool.observed_loss / pool.modelled_loss);
}

void role_policy::update_change_duration(std::chrono::nanoseconds sample)
{
    mean_change_duration_ = mean_change_duration_.count() > 0
                                ? (mean_change_duration_ * 3 + sample) / 4
                                : sample;
}

expert_settings role_policy::settings_for_experts() const
{
    const double change_seconds =
        std::chrono::duration<double>(settings_.rules.change_duration).count();
    const double weight =
        std::max(settings_.rules.goodput_weight, min_goodput_weight);
    expert_settings settings;
    settings.work_function.change_cost = change_seconds / weight;
    settings.work_function.mixed_efficiency =
        settings_.capacity.mixed_efficiency;
    settings.work_function.min_mixed_engines =
        static_cast<int>(settings_.rules.min_mixed_engines);
    settings.change_duration = settings_.rules.change_duration;
    settings.unavailable_duration = mean_change_duration_.count() > 0
                                        ? mean_change_duration_
                                        : settings.change_duration * 3 / 2;
    settings.demand_lag = estimate_lag + expectations_.max_report_age();
    settings.max_unavailable =
        static_cast<int>(settings_.rules.max_unavailable);
    return settings;
}

role_hold role_policy::find_hold(const std::string& model,
                                 const model_pool& pool,
                                 const mix_estimate& estimate,
                                 time_point now) const
{
    if (estimate.confidence < min_confidence ||
        now - pool.first_report_at < fleet_discovery_period)
        return role_hold::stale_reports;

    std::size_t engines = 0;
    std::size_t silent_engines = 0;
    for (const std::pair<const std::string, engine_entry>& item : engines_)
    {
        if (item.second.report.model != model)
            continue;
        ++engines;
        if (now - item.second.report.measured_at > max_engine_report_age)
            ++silent_engines;
    }
    if (silent_engines * 4 > engines)
        return role_hold::stale_reports;
    if (silent_engines >= std::max<std::size_t>(unavailable_limit(), 1) ||
        (pool.engine_lost_at != time_point() &&
         now - pool.engine_lost_at < hold_after_engine_loss))
        return role_hold::degraded_fleet;
    return role_hold::none;
}

void role_policy::expire(time_point now)
{
    for (std::map<std::string, time_point>::iterator lost_engine =
             lost_engines_.begin();
         lost_engine != lost_engines_.end();)
        lost_engine = now - lost_engine->second > max_report_delay
                          ? lost_engines_.erase(lost_engine)
                          : std::next(lost_engine);
    for (std::pair<const std::string, engine_entry>& item : engines_)
    {
        std::optional<time_point>& start_deadline = item.second.start_deadline;
        if (start_deadline && now > *start_deadline)
        {
            start_deadline.reset();
            expectations_.withdraw(item.first);
            expired_engines_.push_back(item.first);
        }
    }
    for (const std::string& engine : expectations_.expire(now))
        expired_engines_.push_back(engine);
}

void role_policy::decide_for(const std::string& model, model_pool& pool,
                             time_point now, std::vector<role_change>& changes)
{
    const mix_estimate estimate = pool.estimator.estimate(now);
    role_split split = split_of(model);
    pool.hold = find_hold(model, pool, estimate, now);
    const std::chrono::nanoseconds elapsed =
        pool.updated_at == time_point()
            ? std::chrono::nanoseconds::zero()
            : std::min<std::chrono::nanoseconds>(now - pool.updated_at,
                                                 max_charged_duration);
    pool.updated_at = now;
    if (split.engines() == 0 || pool.hold == role_hold::stale_reports)
        return;

    const engine_demand demand = to_engines(estimate.fast, settings_.capacity);
    pool.forecast.observe(demand, now);
    pool.experts.prepare(settings_for_experts(), with_min_mixed(split));
    const double scale = loss_scale(pool, demand, split, estimate, elapsed);
    pool.experts.advance(demand, elapsed, scale,
                         pool.forecast.predict(settings_.rules.change_duration,
                                               planning_horizon_slots),
                         mix_forecast::slot_duration,
                         pool.hold == role_hold::none, now);
    if (pool.hold != role_hold::none)
        return;

    change_reason reason = change_reason::regret;
    const role_split target = target_of(pool, split, reason);
    while (split != target)
    {
        const role_step step = first_step(split, target);
        if (!request_change(model, step.from, step.to, reason, now, changes))
            return;
        --split.of(step.from);
        ++split.of(step.to);
    }
}

role_split role_policy::with_min_mixed(const role_split& split) const
{
    role_split adjusted = split;
    while (adjusted.mixed <
               static_cast<int>(settings_.rules.min_mixed_engines) &&
           adjusted.mixed < adjusted.engines())
    {
        --adjusted.of(adjusted.prefill > adjusted.decode ? engine_role::prefill
                                                         : engine_role::decode);
        ++adjusted.mixed;
    }
    return adjusted;
}

role_split role_policy::target_of(model_pool& pool, const role_split& current,
                                  change_reason& reason) const
{
    const role_split adjusted = with_min_mixed(current);
    if (adjusted != current)
    {
        reason = change_reason::min_mixed_engines;
        return adjusted;
    }

    const role_split target = pool.experts.target(current);
    reason = pool.experts.selected().uses_forecast() &&
                     pool.forecast.trusted_period() != 0
                 ? change_reason::forecast
                 : change_reason::regret;
    return target;
}

bool role_policy::request_change(const std::string& model, engine_role from,
                                 engine_role to, change_reason reason,
                                 time_point now,
                                 std::vector<role_change>& changes)
{
    if (unavailable_count() >= unavailable_limit())
        return false;
    const std::string* const engine = select_engine(model, from, now);
    if (engine == nullptr)
        return false;
    engine_entry& entry = engines_.find(*engine)->second;
    entry.start_deadline = now + change_start_timeout;
    if (settings_.use_expectations)
        expectations_.expect(*engine, to, *entry.start_deadline, now);
    changes.push_back({*engine, model, from, to, reason});
    return true;
}

const std::string* role_policy::select_engine(const std::string& model,
                                              engine_role from,
                                              time_point now) const
{
    std::map<std::string, int> engines_in_zone;
    for (const std::pair<const std::string, engine_entry>& item : engines_)
    {
        if (item.second.report.model == model &&
            effective_role(item.second) == from)
            ++engines_in_zone[item.second.report.availability_zone];
    }

    // Prefers the zone with the most engines in that role, then the engine with
    // the fewest active streams, which drains soonest, and then the engine
    // whose last change is the oldest.
    using preference = std::tuple<int, std::uint32_t, time_point>;
    const std::string* selected_engine = nullptr;
    preference best_preference;
    for (const std::pair<const std::string, engine_entry>& item : engines_)
    {
        const engine_entry& entry = item.second;
        if (entry.report.model != model || effective_role(entry) != from ||
            !can_change(entry, now))
            continue;
        const preference candidate{
            -engines_in_zone[entry.report.availability_zone],
            entry.report.active_streams,
            entry.last_change_at.value_or(time_point::min())};
        if (selected_engine == nullptr || candidate < best_preference)
        {
            selected_engine = &item.first;
            best_preference = candidate;
        }
    }
    return selected_engine;
}

} // namespace hibiscusferry
