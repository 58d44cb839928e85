#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_BENCH_POLICY_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_BENCH_POLICY_HPP

#include "engine_fleet.hpp"
#include "offline_plan.hpp"
#include <memory>

namespace hibiscusferry::roles_bench
{

inline time_point to_time(double seconds)
{
    // Not from the epoch on: a time of zero stands for "never".
    return time_point(std::chrono::hours(1)) +
           std::chrono::nanoseconds(static_cast<std::int64_t>(seconds * 1e9));
}

/** A change that a bench policy wants. */
struct wanted_change
{
    std::string engine;
    engine_role from = engine_role::mixed;
    engine_role to = engine_role::mixed;
};

/** What the runner tells a policy, and asks it for. The defaults do
    nothing: a fixed split. */
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
    virtual void on_started(const std::string&, engine_role, double)
    {
    }
    virtual void on_ended(const std::string&, engine_role, bool, double)
    {
    }
    /** @param fleet  the truth; only baselines and the plan look at it */
    virtual std::vector<wanted_change> decide(engine_fleet& fleet, double now)
    {
        (void)fleet;
        (void)now;
        return {};
    }
};

/** The decision code of the roles module. */
class module_policy final : public bench_policy
{
public:
    /** How long an order may take, as the authority would set it. */
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

    void on_started(const std::string& engine, engine_role to,
                    double now) override
    {
        policy_.on_change_started(engine, to, to_time(now + order_deadline_s),
                                  to_time(now));
    }

    void on_ended(const std::string& engine, engine_role role, bool done,
                  double now) override
    {
        if (done)
            policy_.on_change_finished(engine, role, to_time(now));
        else
            policy_.on_change_failed(engine, to_time(now));
    }

    std::vector<wanted_change> decide(engine_fleet&, double now) override
    {
        std::vector<wanted_change> wanted;
        for (const role_change& change : policy_.decide(to_time(now)))
            wanted.push_back({change.engine, change.from, change.to});
        return wanted;
    }

private:
    role_policy policy_;
};

/** The first engine in service with a role, or nullptr; the one with the
    fewest streams, which is idle soonest. */
inline const engine_fleet::engine* idlest(engine_fleet& fleet, engine_role role)
{
    const engine_fleet::engine* best = nullptr;
    for (const engine_fleet::engine& each : fleet.engines())
    {
        if (each.state != engine_fleet::condition::serving || each.role != role)
            continue;
        if (best == nullptr || each.streams.size() < best->streams.size())
            best = &each;
    }
    return best;
}

/** A reactive rule with hysteresis: when one kind of work has kept its
    engines much busier than the other for a while, one engine is moved.
    It uses the same demand estimate as the module and knows the true roles. */
class threshold_policy final : public bench_policy
{
public:
    explicit threshold_policy(const scenario& of)
        : scenario_(of)
        , settings_(of.threshold)
    {
    }

    void on_router_report(const router_load_report& report, double now) override
    {
        estimator_.on_report(report, to_time(now));
    }

    std::vector<wanted_change> decide(engine_fleet& fleet, double now) override
    {
        const engine_demand demand = to_engines(
            estimator_.estimate(to_time(now)).fast, scenario_.capacity());
        role_split split;
        for (const engine_fleet::engine& each : fleet.engines())
        {
            if (each.state == engine_fleet::condition::draining ||
                each.state == engine_fleet::condition::changing)
                ++split.of(each.next_role);
            else if (each.state == engine_fleet::condition::serving)
                ++split.of(each.role);
        }
        const double total = demand.prefill + demand.decode;
        if (total <= 0)
            return {};
        const double shared = scenario_.mixed_efficiency * split.mixed;
        const double prefill_use =
            demand.prefill /
            std::max(0.1, split.prefill + shared * demand.prefill / total);
        const double decode_use =
            demand.decode /
            std::max(0.1, split.decode + shared * demand.decode / total);
        const double gap = prefill_use - decode_use;
        const int side = gap > settings_.gap    ? 1
                         : gap < -settings_.gap ? -1
                                                : 0;
        if (side != side_ ||
            std::max(prefill_use, decode_use) < settings_.least_use)
        {
            side_ = side;
            since_s_ = now;
        }
        if (side_ == 0 || now - since_s_ < settings_.hold_s ||
            now - changed_s_ < settings_.rest_s)
            return {};
        const engine_role to =
            side_ > 0 ? engine_role::prefill : engine_role::decode;
        const engine_role from =
            side_ > 0 ? engine_role::decode : engine_role::prefill;
        const engine_fleet::engine* const engine = idlest(fleet, from);
        if (engine == nullptr)
            return {};
        changed_s_ = now;
        return {{engine->name, from, to}};
    }

private:
    const scenario& scenario_;
    threshold_settings settings_;
    mix_estimator estimator_;
    int side_ = 0;
    double since_s_ = 0;
    double changed_s_ = -1e9;
};

/** Carries out an offline plan, seeing the true fleet. */
class planned_policy final : public bench_policy
{
public:
    /** @param lead_s  how much earlier than planned changes begin */
    planned_policy(const offline_plan& plan, double lead_s)
        : plan_(plan)
        , lead_s_(lead_s)
    {
    }

    std::vector<wanted_change> decide(engine_fleet& fleet, double now) override
    {
        const std::size_t slot = std::min(
            static_cast<std::size_t>((now + lead_s_ + 0.001) / plan_slot_s),
            plan_.splits.size() - 1);
        const role_split& target = plan_.splits[slot];
        role_split split;
        for (const engine_fleet::engine& each : fleet.engines())
        {
            const bool moves =
                each.state == engine_fleet::condition::draining ||
                each.state == engine_fleet::condition::changing;
            ++split.of(moves ? each.next_role : each.role);
        }
        std::vector<wanted_change> wanted;
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
                const engine_fleet::engine* const engine = idlest(fleet, from);
                if (engine == nullptr)
                    continue;
                wanted.push_back({engine->name, from, to});
                --split.of(from);
                ++split.of(to);
            }
        }
        return wanted;
    }

private:
    offline_plan plan_;
    double lead_s_;
};

} // namespace hibiscusferry::roles_bench

#endif
