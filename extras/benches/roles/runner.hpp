#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_RUNNER_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_RUNNER_HPP

#include "bench_policy.hpp"
#include <queue>

namespace hibiscusferry::roles_bench
{

/** The result of one policy on one trace. */
struct run_result
{
    double goodput = 0; ///< part of the offered requests
    double good_requests = 0;
    double role_changes = 0;
    double max_unavailable = 0;
};

/** Runs one policy on one trace in virtual time. */
class runner
{
public:
    runner(const scenario& of, const request_trace& trace,
           const role_split& first, spreading spread, std::uint64_t seed)
        : scenario_(of)
        , trace_(trace)
        , fleet_(of, first, spread, seed)
        , random_(seed * 104729 + 3)
    {
        for (const engine_loss& loss : of.losses)
            pending_losses_.push_back(loss);
    }

    run_result run(bench_policy& policy)
    {
        constexpr double tick_s = 0.1;
        constexpr int ticks_per_report = 10;
        std::size_t next = 0;
        int tick = 0;
        for (double now = 0; now < scenario_.duration_s; now = ++tick * tick_s)
        {
            fleet_.advance(
                now, [&](engine_fleet::engine& engine, bool done)
                { policy.on_ended(engine.name, engine.role, done, now); });
            lose_and_restore(policy, now);
            if (tick % ticks_per_report == 0)
                send_reports(now);
            deliver(policy, now);
            if (tick % ticks_per_report == 0)
                decide(policy, now);
            while (next < trace_.requests.size() &&
                   trace_.requests[next].at_s < now + tick_s)
                fleet_.offer(trace_.requests[next++]);
        }
        const fleet_counts& counts = fleet_.counts();
        run_result result;
        result.good_requests = static_cast<double>(counts.good);
        result.goodput =
            static_cast<double>(counts.good) /
            static_cast<double>(std::max<std::uint64_t>(counts.offered, 1));
        result.role_changes = static_cast<double>(counts.role_changes);
        result.max_unavailable = static_cast<double>(counts.max_unavailable);
        return result;
    }

private:
    struct message
    {
        double arrives_s;
        std::uint64_t order;
        bool from_router;
        router_load_report router;
        engine_report engine;
        bool operator>(const message& other) const
        {
            return arrives_s != other.arrives_s ? arrives_s > other.arrives_s
                                                : order > other.order;
        }
    };

    /** How long a lost engine goes unnoticed. */
    static constexpr double detection_s = 5.0;

    double unit()
    {
        return std::generate_canonical<double, 32>(random_);
    }

    void send(message sent, double now, double lag)
    {
        const report_conditions& conditions = scenario_.reports;
        const bool silent =
            now >= conditions.silent_from_s && now < conditions.silent_to_s;
        const bool lost = unit() < conditions.lost_part;
        const bool twice = unit() < conditions.duplicated_part;
        const double late = now + lag * (0.5 + unit());
        const double later = late + lag * unit();
        if (silent || lost)
            return;
        sent.order = ++sent_;
        sent.arrives_s = late;
        messages_.push(sent);
        if (twice)
        {
            sent.arrives_s = later;
            messages_.push(sent);
        }
    }

    void send_reports(double now)
    {
        for (std::size_t number = 0; number < fleet_.routers().size(); ++number)
        {
            message report{};
            report.from_router = true;
            report.router = fleet_.routers()[number];
            report.router.router = "router-" + std::to_string(number);
            report.router.incarnation = 1;
            report.router.model = "model";
            send(report, now, scenario_.reports.router_lag_s);
        }
        for (const engine_fleet::engine& engine : fleet_.engines())
        {
            if (engine.state == engine_fleet::condition::lost)
                continue;
            message report{};
            report.from_router = false;
            report.engine.engine = engine.name;
            report.engine.model = "model";
            report.engine.availability_zone = engine.zone;
            report.engine.role = engine.role;
            report.engine.state =
                engine.state == engine_fleet::condition::changing
                    ? engine_state::changing
                    : engine_state::serving;
            report.engine.active_streams =
                static_cast<std::uint32_t>(engine.streams.size());
            report.engine.measured_at = to_time(now);
            send(report, now, scenario_.reports.engine_lag_s);
        }
    }

    void deliver(bench_policy& policy, double now)
    {
        while (!messages_.empty() && messages_.top().arrives_s <= now)
        {
            const message& arrived = messages_.top();
            if (arrived.from_router)
                policy.on_router_report(arrived.router, now);
            else
                policy.on_engine_report(arrived.engine, now);
            messages_.pop();
        }
        while (!detections_.empty() && detections_.front().at_s <= now)
        {
            policy.on_engine_lost(detections_.front().engine, now);
            detections_.erase(detections_.begin());
        }
    }

    void decide(bench_policy& policy, double now)
    {
        for (const wanted_change& change : policy.decide(fleet_, now))
        {
            engine_fleet::engine* const engine = fleet_.find(change.engine);
            if (engine != nullptr && engine->role == change.to &&
                engine->state == engine_fleet::condition::serving)
                policy.on_ended(change.engine, change.to, true, now);
            else if (fleet_.begin_change(change.engine, change.to))
                policy.on_started(change.engine, change.to, now);
            else
                policy.on_ended(change.engine, change.from, false, now);
        }
    }

    void lose_and_restore(bench_policy& policy, double now)
    {
        for (engine_loss& loss : pending_losses_)
        {
            if (loss.engines > 0 && now >= loss.at_s)
            {
                for (; loss.engines > 0; --loss.engines)
                    lose_one(loss, policy, now);
            }
        }
        for (restoration& back : restorations_)
        {
            if (back.at_s > 0 && now >= back.at_s)
            {
                back.at_s = 0;
                fleet_.find(back.engine)->state =
                    engine_fleet::condition::serving;
            }
        }
    }

    void lose_one(const engine_loss& loss, bench_policy& policy, double now)
    {
        std::vector<engine_fleet::engine>& engines = fleet_.engines();
        std::size_t chosen =
            static_cast<std::size_t>(unit() * 1e6) % engines.size();
        while (engines[chosen].state == engine_fleet::condition::lost)
            chosen = (chosen + 1) % engines.size();
        if (engines[chosen].state != engine_fleet::condition::serving)
            policy.on_ended(engines[chosen].name, engines[chosen].role, false,
                            now);
        fleet_.lose(engines[chosen]);
        detections_.push_back({engines[chosen].name, now + detection_s});
        if (loss.back_s > 0)
            restorations_.push_back({engines[chosen].name, loss.back_s});
    }

    struct restoration
    {
        std::string engine;
        double at_s;
    };

    const scenario& scenario_;
    const request_trace& trace_;
    engine_fleet fleet_;
    std::mt19937_64 random_;
    std::vector<engine_loss> pending_losses_;
    std::vector<restoration> restorations_;
    std::vector<restoration> detections_;
    std::priority_queue<message, std::vector<message>, std::greater<message>>
        messages_;
    std::uint64_t sent_ = 0;
};

} // namespace hibiscusferry::roles_bench

#endif
