#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_BENCH_POLICY_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_BENCH_POLICY_HPP

#include "engine_fleet.hpp"
#include "offline_plan.hpp"
#include <memory>

namespace hibiscusferry::roles_bench
{

inline time_point to_time(double seconds)
{
    // Starts an hour after the epoch, because a time of zero means "never".
    return time_point(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

/** A role change that a policy requests. */
struct requested_change
{
    std::string engine;
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
};

/** Interface between the runner and a policy. The default implementation
    never changes a role, which gives a fixed split. */
class bench_policy
{
public:
    virtual ~bench_policy() = default;
    virtual void on_router_report(const router_load_report&, double)
    {
    }
    virtual void on_engine_report(const engine_report&, double)
    {
    }
    virtual void on_engine_lost(const std::string&, double)
    {
    }
    virtual void on_change_started(const std::string&, engine_role, double)
    {
    }
    virtual void on_change_ended(const std::string&, engine_role, bool, double)
    {
    }
    /** Decides on role changes.

        @param fleet  the actual state of the engines; only the baselines and
                      the offline plan may use it
        @param now    virtual time, in seconds
    */
    virtual std::vector<requested_change> decide(engine_fleet& fleet,
                                                 double now)
    {
        (void)fleet;
        (void)now;
        return {};
    }
};

/** Runs the decision code of the roles module. */
class module_policy final : public bench_policy
{
public:
    /** Deadline of an order, as the authority would set it. */
    static constexpr double order_deadline_s = 60;

    explicit module_policy(const role_policy_settings& settings)
        : policy_(role_policy::create(settings).value())
    {
    }

    void on_router_report(const router_load_report& report, double now) override
    {
        policy_.on_router_report(report, to_time(now));
    }

    void on_engine_report(const engine_report& report, double now) override
    {
        policy_.on_engine_report(report, to_time(now));
    }

    void on_engine_lost(const std::string& engine, double now) override
    {
        policy_.on_engine_lost(engine, to_time(now));
    }

    void on_change_started(const std::string& engine, engine_role to,
                           double now) override
    {
        policy_.on_change_started(engine, to, to_time(now + order_deadline_s),
                                  to_time(now));
    }

    void on_change_ended(const std::string& engine, engine_role role, bool done,
                         double now) override
    {
        if (done)
            policy_.on_change_finished(engine, role, to_time(now));
        else
            policy_.on_change_failed(engine, to_time(now));
    }

    std::vector<requested_change> decide(engine_fleet&, double now) override
    {
        std::vector<requested_change> requested;
        for (const role_change& change : policy_.decide(to_time(now)))
            requested.push_back({change.engine, change.from, change.to});
        return requested;
    }

private:
    role_policy policy_;
};

/** Finds the serving engine of a role with the fewest streams, since it is
    the first to become idle.

    @returns the engine, or nullptr if no engine of the role is serving
*/
inline const engine_fleet::engine* least_busy_engine(engine_fleet& fleet,
                                                     engine_role role)
{
    const engine_fleet::engine* best = nullptr;
    for (const engine_fleet::engine& fleet_engine : fleet.engines())
    {
        if (fleet_engine.state != engine_fleet::condition::serving ||
            fleet_engine.role != role)
            continue;
        if (best == nullptr ||
            fleet_engine.streams.size() < best->streams.size())
            best = &fleet_engine;
    }
    return best;
}

/** A reactive rule with hysteresis. It moves one engine when the utilisation
    of one stage has exceeded that of the other by the configured gap for the
    configured time. It uses the same demand estimate as the module and knows
    the actual roles. */
class threshold_policy final : public bench_policy
{
public:
    explicit threshold_policy(const scenario& config)
        : scenario_(config)
        , settings_(config.threshold)
    {
    }

    void on_router_report(const router_load_report& report, double now) override
    {
        estimator_.on_report(report, to_time(now));
    }

    std::vector<requested_change> decide(engine_fleet& fleet,
                                         double now) override
    {
        const engine_demand demand = to_engines(
            estimator_.estimate(to_time(now)).fast, scenario_.capacity());
        role_split split;
        for (const engine_fleet::engine& fleet_engine : fleet.engines())
        {
            if (fleet_engine.state == engine_fleet::condition::draining ||
                fleet_engine.state == engine_fleet::condition::changing)
                ++split.of(fleet_engine.next_role);
            else if (fleet_engine.state == engine_fleet::condition::serving)
                ++split.of(fleet_engine.role);
        }
        const double total = demand.prefill + demand.decode;
        if (total <= 0)
            return {};
        const double mixed_capacity = scenario_.mixed_efficiency * split.mixed;
        const double prefill_utilisation =
            demand.prefill /
            std::max(0.1,
                     split.prefill + mixed_capacity * demand.prefill / total);
        const double decode_utilisation =
            demand.decode /
            std::max(0.1,
                     split.decode + mixed_capacity * demand.decode / total);
        const double gap = prefill_utilisation - decode_utilisation;
        const int side = gap > settings_.gap    ? 1
                         : gap < -settings_.gap ? -1
                                                : 0;
        if (side != side_ || std::max(prefill_utilisation, decode_utilisation) <
                                 settings_.min_utilisation)
        {
            side_ = side;
            exceeded_since_s_ = now;
        }
        if (side_ == 0 || now - exceeded_since_s_ < settings_.hold_s ||
            now - last_change_s_ < settings_.min_interval_s)
            return {};
        const engine_role to =
            side_ > 0 ? engine_role::prefill : engine_role::decode;
        const engine_role from =
            side_ > 0 ? engine_role::decode : engine_role::prefill;
        const engine_fleet::engine* const engine =
            least_busy_engine(fleet, from);
        if (engine == nullptr)
            return {};
        last_change_s_ = now;
        return {{engine->name, from, to}};
    }

private:
    const scenario& scenario_;
    threshold_settings settings_;
    mix_estimator estimator_;
    int side_ = 0;
    double exceeded_since_s_ = 0;
    double last_change_s_ = -1e9;
};

/** Applies an offline plan, using the actual state of the engines. */
class planned_policy final : public bench_policy
{
public:
    /** @param lead_time_s  time by which changes begin earlier than planned */
    planned_policy(const offline_plan& plan, double lead_time_s)
        : plan_(plan)
        , lead_time_s_(lead_time_s)
    {
    }

    std::vector<requested_change> decide(engine_fleet& fleet,
                                         double now) override
    {
        const std::size_t slot =
            std::min(static_cast<std::size_t>((now + lead_time_s_ + 0.001) /
                                              plan_slot_s),
                     plan_.splits.size() - 1);
        const role_split& target = plan_.splits[slot];
        role_split split;
        for (const engine_fleet::engine& fleet_engine : fleet.engines())
        {
            const bool is_changing =
                fleet_engine.state == engine_fleet::condition::draining ||
                fleet_engine.state == engine_fleet::condition::changing;
            ++split.of(is_changing ? fleet_engine.next_role
                                   : fleet_engine.role);
        }
        std::vector<requested_change> requested;
        for (const engine_role from :
             {engine_role::prefill, engine_role::decode, engine_role::mixed})
        {
            for (const engine_role to :
                 {engine_role::prefill, engine_role::decode,
                  engine_role::mixed})
            {
                if (split.of(from) <= target.of(from) ||
                    split.of(to) >= target.of(to))
                    continue;
                const engine_fleet::engine* const engine =
                    least_busy_engine(fleet, from);
                if (engine == nullptr)
                    continue;
                requested.push_back({engine->name, from, to});
                --split.of(from);
                ++split.of(to);
            }
        }
        return requested;
    }

private:
    offline_plan plan_;
    double lead_time_s_;
};

} // namespace hibiscusferry::roles_bench

#endif
