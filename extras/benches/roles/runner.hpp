#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_RUNNER_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_RUNNER_HPP

#include "bench_policy.hpp"
#include <queue>

namespace hibiscusferry::roles_bench
{

/** The result of one policy on one trace. */
struct run_result
{
    double goodput = 0; ///< share of the offered requests that were served
    double good_requests = 0;
    double role_changes = 0;
    double max_unavailable = 0;
};

/** Runs one policy on one trace in virtual time. */
class runner
{
public:
    runner(const scenario& config, const request_trace& trace,
           const role_split& starting_split, balancing_policy balancing,
           std::uint64_t seed)
        : scenario_(config)
        , trace_(trace)
        , fleet_(config, starting_split, balancing, seed)
        , random_(seed * 104729 + 3)
    {
        for (const engine_loss& loss : config.losses)
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
            fleet_.advance(now,
                           [&](engine_fleet::engine& engine, bool done) {
                               policy.on_change_ended(engine.name, engine.role,
                                                      done, now);
                           });
            crash_and_restore(policy, now);
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
        double arrival_s;
        std::uint64_t order;
        bool from_router;
        router_load_report router;
        engine_report engine;
        bool operator>(const message& other) const
        {
            return arrival_s != other.arrival_s ? arrival_s > other.arrival_s
                                                : order > other.order;
        }
    };

    /** Delay until the loss of an engine is detected. */
    static constexpr double detection_s = 5.0;

    double unit()
    {
        return std::generate_canonical<double, 32>(random_);
    }

    void send(message report, double now, double lag)
    {
        const report_conditions& conditions = scenario_.reports;
        const bool is_silent =
            now >= conditions.silent_from_s && now < conditions.silent_to_s;
        const bool is_lost = unit() < conditions.loss_share;
        const bool is_duplicated = unit() < conditions.duplicate_share;
        const double first_arrival_s = now + lag * (0.5 + unit());
        const double second_arrival_s = first_arrival_s + lag * unit();
        if (is_silent || is_lost)
            return;
        report.order = ++sent_messages_;
        report.arrival_s = first_arrival_s;
        messages_.push(report);
        if (is_duplicated)
        {
            report.arrival_s = second_arrival_s;
            messages_.push(report);
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
        while (!messages_.empty() && messages_.top().arrival_s <= now)
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
        for (const requested_change& change : policy.decide(fleet_, now))
        {
            engine_fleet::engine* const engine =
                fleet_.find_engine(change.engine);
            if (engine != nullptr && engine->role == change.to &&
                engine->state == engine_fleet::condition::serving)
                policy.on_change_ended(change.engine, change.to, true, now);
            else if (fleet_.begin_change(change.engine, change.to))
                policy.on_change_started(change.engine, change.to, now);
            else
                policy.on_change_ended(change.engine, change.from, false, now);
        }
    }

    void crash_and_restore(bench_policy& policy, double now)
    {
        for (engine_loss& loss : pending_losses_)
        {
            if (loss.engines > 0 && now >= loss.at_s)
            {
                for (; loss.engines > 0; --loss.engines)
                    crash_engine(loss, policy, now);
            }
        }
        for (restoration& restored : restorations_)
        {
            if (restored.at_s > 0 && now >= restored.at_s)
            {
                restored.at_s = 0;
                fleet_.find_engine(restored.engine)->state =
                    engine_fleet::condition::serving;
            }
        }
    }

    void crash_engine(const engine_loss& loss, bench_policy& policy, double now)
    {
        std::vector<engine_fleet::engine>& engines = fleet_.engines();
        std::size_t engine_index =
            static_cast<std::size_t>(unit() * 1e6) % engines.size();
        while (engines[engine_index].state == engine_fleet::condition::lost)
            engine_index = (engine_index + 1) % engines.size();
        if (engines[engine_index].state != engine_fleet::condition::serving)
            policy.on_change_ended(engines[engine_index].name,
                                   engines[engine_index].role, false, now);
        fleet_.crash(engines[engine_index]);
        detections_.push_back({engines[engine_index].name, now + detection_s});
        if (loss.restore_s > 0)
            restorations_.push_back(
                {engines[engine_index].name, loss.restore_s});
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
    std::uint64_t sent_messages_ = 0;
};

} // namespace hibiscusferry::roles_bench

#endif
