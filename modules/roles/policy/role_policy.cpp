#include "roles/policy/role_policy.hpp"

#include "roles/errors/roles_error.hpp"
#include <algorithm>
#include <cmath>
#include <tuple>

namespace hibiscusferry
{

namespace
{

/** Below this confidence in the routers' reports nothing is changed. */
constexpr double least_confidence = 0.6;
/** An engine whose newest report was taken longer ago is silent. */
constexpr std::chrono::seconds silent_after{30};
/** A new holder changes nothing until it has had so long to hear of all
    engines: one not yet heard of must not be taken for a missing one. */
constexpr std::chrono::seconds learn_fleet_for{20};
/** A report that is older when it arrives comes from nowhere. */
constexpr std::chrono::minutes longest_report_lag{5};
/** Nothing is changed for so long after an engine was lost. */
constexpr std::chrono::seconds settle_after_loss{20};
/** A change that was asked for and has not started by then is dropped. */
constexpr std::chrono::seconds start_allowance{30};
/** A pause of the process is not charged for longer than this. */
constexpr std::chrono::seconds greatest_charge{5};
/** How far the averaged demand is behind the offered one, with a stream's
    tokens counted as they come. */
constexpr std::chrono::seconds estimate_lag{5};
/** Over how long the charged loss is compared with the seen one. */
constexpr std::chrono::seconds scale_time_constant{30};
/** Charged losses are not scaled down further: routers may queue where they
    could refuse. */
constexpr double least_loss_scale = 0.3;
/** Coming slots that a plan looks at. */
constexpr std::size_t planned_slots = 30;
/** A weight below it means that only the number of changes matters. */
constexpr double least_goodput_weight = 0.001;

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
    const std::map<std::string, time_point>::const_iterator lost =
        lost_engines_.find(report.engine);
    if (lost != lost_engines_.end() && report.measured_at <= lost->second)
        return;
    model_pool& pool = pool_of(report.model);
    if (pool.known_since == time_point())
        pool.known_since = now;
    engine_entry& entry = engines_[report.engine];
    if (!entry.report.engine.empty() &&
        report.measured_at <= entry.report.measured_at)
        return;
    entry.report = report;
    expectations_.on_report(report, now);
    // An order that is past its deadline cannot take the engine away later.
    if (entry.away_until && report.measured_at > *entry.away_until &&
        report.state == engine_state::serving)
        entry.away_until.reset();
}

void role_policy::on_engine_joined(const engine_report& first, time_point now)
{
    on_engine_report(first, now);
}

void role_policy::on_engine_lost(const std::string& engine, time_point now)
{
    const std::map<std::string, engine_entry>::iterator found =
        engines_.find(engine);
    if (found == engines_.end())
        return;
    pool_of(found->second.report.model).lost_at = now;
    engines_.erase(found);
    lost_engines_[engine] = now;
    expectations_.forget(engine);
}

void role_policy::on_change_started(const std::string& engine, engine_role to,
                                    time_point deadline, time_point now)
{
    const std::map<std::string, engine_entry>::iterator found =
        engines_.find(engine);
    if (found == engines_.end())
        return;
    found->second.asked_until.reset();
    found->second.away_until = deadline;
    found->second.started_at = now;
    if (settings_.use_expectations)
        expectations_.expect(engine, to, deadline, now);
}

void role_policy::on_change_finished(const std::string& engine,
                                     engine_role role, time_point now)
{
    const std::map<std::string, engine_entry>::iterator found =
        engines_.find(engine);
    if (found == engines_.end())
        return;
    found->second.asked_until.reset();
    if (found->second.away_until)
        learn_away_duration(now - found->second.started_at);
    found->second.away_until.reset();
    found->second.changed_at = now;
    if (settings_.use_expectations)
    {
        expectations_.expect(engine, role, now, now);
        expectations_.on_finished(engine, now);
    }
}

void role_policy::on_change_failed(const std::string& engine, time_point now)
{
    const std::map<std::string, engine_entry>::iterator found =
        engines_.find(engine);
    if (found == engines_.end())
        return;
    found->second.asked_until.reset();
    found->second.away_until.reset();
    found->second.changed_at = now;
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
        role_pool_status shown;
        shown.model = entry->first;
        shown.split = split_of(entry->first);
        shown.estimate = pool.estimator.estimate(now);
        shown.hold = pool.hold;
        shown.regret = pool.experts.followed().regret(shown.split);
        shown.forecast_trusted = pool.forecast.trusted_period() != 0;
        shown.forecast_period =
            mix_forecast::slot *
            static_cast<std::int64_t>(pool.forecast.trusted_period());
        shown.away = away_count();
        shown.expectations = expectations_.size();
        pools.push_back(shown);
    }
    return pools;
}

std::vector<std::string> role_policy::take_expired()
{
    std::vector<std::string> taken;
    taken.swap(expired_);
    return taken;
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

bool role_policy::is_away(const engine_entry& entry) const
{
    if (entry.asked_until || entry.away_until)
        return true;
    // A report from before a change finished shows what is over.
    const bool outdated =
        entry.changed_at && entry.report.measured_at <= *entry.changed_at;
    return entry.report.state == engine_state::changing && !outdated;
}

bool role_policy::can_change(const engine_entry& entry, time_point now) const
{
    return !is_away(entry) && entry.report.state != engine_state::leaving &&
           now - entry.report.measured_at <= silent_after;
}

role_split role_policy::split_of(const std::string& model) const
{
    role_split split;
    for (const std::pair<const std::string, engine_entry>& named : engines_)
    {
        const engine_entry& entry = named.second;
        if (entry.report.model == model &&
            entry.report.state != engine_state::leaving)
            ++split.of(effective_role(entry));
    }
    return split;
}

std::size_t role_policy::away_count() const
{
    return static_cast<std::size_t>(std::count_if(
        engines_.begin(), engines_.end(),
        [this](const std::pair<const std::string, engine_entry>& named)
        { return is_away(named.second); }));
}

std::size_t role_policy::away_limit() const
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
                       std::chrono::duration<double>(scale_time_constant));
    const double charged =
        loss_rate(split, demand, settings_.capacity.mixed_efficiency);
    const double seen =
        estimate.refused_part * (demand.prefill + demand.decode);
    pool.charged_loss += weight * (charged - pool.charged_loss);
    pool.seen_loss += weight * (seen - pool.seen_loss);
    if (pool.charged_loss <= pool.seen_loss)
        return 1.0;
    return std::max(least_loss_scale, pool.seen_loss / pool.charged_loss);
}

void role_policy::learn_away_duration(std::chrono::nanoseconds sample)
{
    away_duration_ =
        away_duration_.count() > 0 ? (away_duration_ * 3 + sample) / 4 : sample;
}

expert_settings role_policy::settings_for_experts() const
{
    const double away_seconds =
        std::chrono::duration<double>(settings_.rules.change_duration).count();
    const double weight =
        std::max(settings_.rules.goodput_weight, least_goodput_weight);
    expert_settings settings;
    settings.work.change_cost = away_seconds / weight;
    settings.work.mixed_efficiency = settings_.capacity.mixed_efficiency;
    settings.work.min_mixed_engines =
        static_cast<int>(settings_.rules.min_mixed_engines);
    settings.change_duration = settings_.rules.change_duration;
    settings.away_duration = away_duration_.count() > 0
                                 ? away_duration_
                                 : settings.change_duration * 3 / 2;
    settings.lag = estimate_lag + expectations_.observed_lag();
    settings.max_unavailable =
        static_cast<int>(settings_.rules.max_unavailable);
    return settings;
}

role_hold role_policy::hold_of(const std::string& model, const model_pool& pool,
                               const mix_estimate& estimate,
                               time_point now) const
{
    if (estimate.confidence < least_confidence ||
        now - pool.known_since < learn_fleet_for)
        return role_hold::stale_reports;

    std::size_t engines = 0;
    std::size_t silent = 0;
    for (const std::pair<const std::string, engine_entry>& named : engines_)
    {
        if (named.second.report.model != model)
            continue;
        ++engines;
        if (now - named.second.report.measured_at > silent_after)
            ++silent;
    }
    if (silent * 4 > engines)
        return role_hold::stale_reports;
    if (silent >= std::max<std::size_t>(away_limit(), 1) ||
        (pool.lost_at != time_point() &&
         now - pool.lost_at < settle_after_loss))
        return role_hold::degraded_fleet;
    return role_hold::none;
}

void role_policy::expire(time_point now)
{
    for (std::map<std::string, time_point>::iterator lost =
             lost_engines_.begin();
         lost != lost_engines_.end();)
        lost = now - lost->second > longest_report_lag
                   ? lost_engines_.erase(lost)
                   : std::next(lost);
    for (std::pair<const std::string, engine_entry>& named : engines_)
    {
        std::optional<time_point>& asked_until = named.second.asked_until;
        if (asked_until && now > *asked_until)
        {
            asked_until.reset();
            expectations_.withdraw(named.first);
            expired_.push_back(named.first);
        }
    }
    for (const std::string& engine : expectations_.expire(now))
        expired_.push_back(engine);
}

void role_policy::decide_for(const std::string& model, model_pool& pool,
                             time_point now, std::vector<role_change>& changes)
{
    const mix_estimate estimate = pool.estimator.estimate(now);
    role_split split = split_of(model);
    pool.hold = hold_of(model, pool, estimate, now);
    const std::chrono::nanoseconds elapsed =
        pool.updated_at == time_point()
            ? std::chrono::nanoseconds::zero()
            : std::min<std::chrono::nanoseconds>(now - pool.updated_at,
                                                 greatest_charge);
    pool.updated_at = now;
    if (split.engines() == 0 || pool.hold == role_hold::stale_reports)
        return;

    const engine_demand demand = to_engines(estimate.fast, settings_.capacity);
    pool.forecast.observe(demand, now);
    pool.experts.prepare(settings_for_experts(), with_least_mixed(split));
    const double scale = loss_scale(pool, demand, split, estimate, elapsed);
    pool.experts.advance(
        demand, elapsed, scale,
        pool.forecast.coming(settings_.rules.change_duration, planned_slots),
        mix_forecast::slot, pool.hold == role_hold::none, now);
    if (pool.hold != role_hold::none)
        return;

    change_reason reason = change_reason::regret;
    const role_split target = target_of(pool, split, reason);
    while (split != target)
    {
        const role_step step = first_step(split, target);
        if (!ask_for(model, step.from, step.to, reason, now, changes))
            return;
        --split.of(step.from);
        ++split.of(step.to);
    }
}

role_split role_policy::with_least_mixed(const role_split& split) const
{
    role_split mended = split;
    while (mended.mixed < static_cast<int>(settings_.rules.min_mixed_engines) &&
           mended.mixed < mended.engines())
    {
        --mended.of(mended.prefill > mended.decode ? engine_role::prefill
                                                   : engine_role::decode);
        ++mended.mixed;
    }
    return mended;
}

role_split role_policy::target_of(model_pool& pool, const role_split& present,
                                  change_reason& reason) const
{
    const role_split mended = with_least_mixed(present);
    if (mended != present)
    {
        reason = change_reason::min_mixed_engines;
        return mended;
    }

    const role_split target = pool.experts.target(present);
    reason = pool.experts.followed().uses_forecast() &&
                     pool.forecast.trusted_period() != 0
                 ? change_reason::forecast
                 : change_reason::regret;
    return target;
}

bool role_policy::ask_for(const std::string& model, engine_role from,
                          engine_role to, change_reason reason, time_point now,
                          std::vector<role_change>& changes)
{
    if (away_count() >= away_limit())
        return false;
    const std::string* const engine = best_engine(model, from, now);
    if (engine == nullptr)
        return false;
    engine_entry& entry = engines_.find(*engine)->second;
    entry.asked_until = now + start_allowance;
    if (settings_.use_expectations)
        expectations_.expect(*engine, to, *entry.asked_until, now);
    changes.push_back({*engine, model, from, to, reason});
    return true;
}

const std::string* role_policy::best_engine(const std::string& model,
                                            engine_role from,
                                            time_point now) const
{
    std::map<std::string, int> of_zone;
    for (const std::pair<const std::string, engine_entry>& named : engines_)
    {
        if (named.second.report.model == model &&
            effective_role(named.second) == from)
            ++of_zone[named.second.report.availability_zone];
    }

    // From the zone with most of that role, then the one idle soonest, then
    // the one that was left alone for longest.
    using preference = std::tuple<int, std::uint32_t, time_point>;
    const std::string* best = nullptr;
    preference best_preference;
    for (const std::pair<const std::string, engine_entry>& named : engines_)
    {
        const engine_entry& entry = named.second;
        if (entry.report.model != model || effective_role(entry) != from ||
            !can_change(entry, now))
            continue;
        const preference candidate{
            -of_zone[entry.report.availability_zone],
            entry.report.active_streams,
            entry.changed_at.value_or(time_point::min())};
        if (best == nullptr || candidate < best_preference)
        {
            best = &named.first;
            best_preference = candidate;
        }
    }
    return best;
}

} // namespace hibiscusferry
