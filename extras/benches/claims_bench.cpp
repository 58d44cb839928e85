/** @file
    Measures the claims module: seeded runs of calls under injected faults,
    transactions per second of the group commit with a full-size fleet, and
    the processor time per call of the claim registry.
*/
#include "claims/testing/claim_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <numeric>
#include <string>
#include <variant>
#include <vector>

DEFINE_uint64(runs, 10000, "number of seeded runs under faults");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(seconds, 20, "virtual seconds of each group commit measurement");
DEFINE_string(plant, "none",
              "fault injected to verify that the check can fail: starts, "
              "retries, tombstones or conditions");

using namespace hibiscusferry;
using namespace hibiscusferry::testing;

namespace
{

// ========================================================================
// Seeded runs under faults
// ========================================================================

void run_under_faults()
{
    const router_fault router =
        FLAGS_plant == "starts"    ? router_fault::starts_before_claim
        : FLAGS_plant == "retries" ? router_fault::retries_interrupted_calls
                                   : router_fault::none;
    const table_fault table =
        FLAGS_plant == "tombstones"   ? table_fault::skips_tombstones
        : FLAGS_plant == "conditions" ? table_fault::ignores_conditions
                                      : table_fault::none;
    claim_report totals;
    std::size_t wrong_runs = 0;
    std::string first_breach;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run)
    {
        const std::uint64_t seed = FLAGS_seed + run;
        const claim_report report = claim_simulation(seed, router, table).run();
        totals.calls += report.calls;
        totals.target_runs += report.target_runs;
        totals.kills += report.kills;
        totals.commits += report.commits;
        totals.max_runs_per_key =
            std::max(totals.max_runs_per_key, report.max_runs_per_key);
        for (std::size_t index = 0; index < totals.verdicts.size(); ++index)
            totals.verdicts[index] += report.verdicts[index];
        if (report.breaches.empty())
            continue;
        ++wrong_runs;
        if (first_breach.empty())
            first_breach =
                "seed " + std::to_string(seed) + ", " + report.breaches.front();
    }
    const std::size_t verdict_count = std::accumulate(
        totals.verdicts.begin(), totals.verdicts.end(), std::size_t{0});
    std::printf("runs under faults: %llu, wrong: %zu%s%s\n",
                static_cast<unsigned long long>(FLAGS_runs), wrong_runs,
                first_breach.empty() ? "" : ", first: ", first_breach.c_str());
    std::printf("  calls %zu, runs at the target %zu, max runs per key %zu, "
                "routers killed %zu, transactions %llu\n",
                totals.calls, totals.target_runs, totals.max_runs_per_key,
                totals.kills, static_cast<unsigned long long>(totals.commits));
    std::printf(
        "  responses to callers: completed %zu, in progress %zu, unknown %zu, "
        "key reused %zu, not run %zu, barred %zu; "
        "router killed first %zu\n",
        totals.verdicts[0], totals.verdicts[1], totals.verdicts[2],
        totals.verdicts[3], totals.verdicts[4], totals.verdicts[5],
        totals.calls - verdict_count);
}

// ========================================================================
// Group commit at full size
// ========================================================================

constexpr std::size_t fleet_hosts = 370;
constexpr double requests_per_second = 6800;
constexpr std::chrono::milliseconds commit_duration{10};
constexpr std::chrono::milliseconds response_duration{200};

struct load_measurement
{
    std::uint64_t claims = 0;
    std::uint64_t transactions = 0;
    std::uint64_t rows = 0;
    std::uint64_t forwarded_bytes = 0;
    std::vector<std::chrono::nanoseconds> claim_delays;
};

/** A fleet whose hosts use the real claim batchers and forwarders, with a
    simulated store that completes every commit after `commit_duration`. */
class loaded_fleet
{
public:
    loaded_fleet(double share, std::size_t batching_hosts,
                 std::chrono::milliseconds interval)
        : random_(FLAGS_seed)
        , per_second_(requests_per_second * share)
    {
        batch_limits batches;
        batches.interval = interval;
        std::vector<std::string> names;
        for (std::size_t host = 0; host < fleet_hosts; ++host)
            names.push_back("host-" + std::to_string(host));
        for (std::size_t host = 0; host < fleet_hosts; ++host)
        {
            hosts_[names[host]] = std::make_unique<batching_host>(
                names[host], batches,
                forward_limits{batching_hosts, std::chrono::seconds(5)});
            hosts_[names[host]]->forwarder.hosts_changed(
                batching_hosts == 0 ? std::vector<std::string>() : names);
        }
        names_ = names;
    }

    load_measurement run()
    {
        const std::size_t count = static_cast<std::size_t>(
            per_second_ * static_cast<double>(FLAGS_seconds));
        const std::uint64_t span_us = FLAGS_seconds * 1000000;
        for (std::size_t index = 0; index < count; ++index)
        {
            const std::chrono::microseconds start(random_.below(span_us));
            events_.after(start, [this, index] { claim(index); });
        }
        events_.run_until(events_.now() + std::chrono::seconds(FLAGS_seconds));
        measurement_.claims = count;
        return measurement_;
    }

private:
    struct batching_host
    {
        batching_host(const std::string& name, const batch_limits& batches,
                      const forward_limits& forwards)
            : batcher(batches)
            , forwarder(name, forwards)
        {
        }
        claim_batcher batcher;
        claim_forwarder forwarder;
    };

    /** Submits a claim; the record of its outcome follows when the claim is
        committed. */
    void claim(std::size_t index)
    {
        const std::string& host = names_[random_.below(fleet_hosts)];
        const std::string id = std::to_string(index);
        claim_starts_[id] = events_.now();
        submit(host, make_update(id, std::nullopt, ""));
    }

    static row_update make_update(const std::string& id,
                                  std::optional<row_version> version,
                                  const std::string& previous)
    {
        claim_record record;
        record.name = {"order-desk", "customer",
                       id.substr(0, id.find('/')) + std::string(24, 'k')};
        record.body_digest = std::string(64, 'd');
        record.claim_id = id + std::string(24, 'c');
        record.owner.process = "process-with-a-usual-name-32-long";
        if (version)
        {
            record.state = claim_state::settled;
            record.answer.body = std::string(600, 'b');
        }
        row_update update;
        update.id = id;
        update.key = record.name.row_key();
        update.version = version;
        update.previous = previous;
        update.value = row_stamp::successor(previous, id, record.text());
        update.index_writes.push_back(
            {record.open_claim_key(),
             version ? std::optional<std::string>() : record.text()});
        if (version)
            update.index_writes.push_back(
                {expiry_key(record.since, update.key), ""});
        return update;
    }

    void submit(const std::string& host, const row_update& update)
    {
        for (const forward_action& action :
             hosts_.at(host)->forwarder.submit(update, events_.now()))
        {
            if (const forward_update* forward =
                    std::get_if<forward_update>(&action))
            {
                measurement_.forwarded_bytes += update.key.size() +
                                                update.previous.size() +
                                                update.value.size();
                events_.after(std::chrono::milliseconds(1),
                              [this, forward = *forward, host]
                              { batch(forward.host, forward.update, host); });
            }
            else if (std::holds_alternative<submit_locally>(action))
                batch(host, update, host);
        }
    }

    void batch(const std::string& host, const row_update& update,
               const std::string& origin)
    {
        origins_[update.id] = origin;
        updates_[update.id] = update;
        perform(host, hosts_.at(host)->batcher.submit(update, events_.now()));
    }

    void perform(const std::string& host,
                 const std::vector<batch_action>& actions)
    {
        for (const batch_action& action : actions)
        {
            if (const batch_step* step = std::get_if<batch_step>(&action))
                commit(host, *step);
            else
                update_ended(std::get<update_outcome>(action));
        }
        const time_point wake = hosts_.at(host)->batcher.next_wake();
        if (wake == time_point::max())
            return;
        events_.at(wake, [this, host] { perform_tick(host); });
    }

    void perform_tick(const std::string& host)
    {
        const std::vector<batch_action> actions =
            hosts_.at(host)->batcher.tick(events_.now());
        if (!actions.empty())
            perform(host, actions);
    }

    void commit(const std::string& host, const batch_step& step)
    {
        const table_transaction transaction =
            std::get<commit_step>(step.step).transaction;
        ++measurement_.transactions;
        measurement_.rows += transaction.writes.size();
        events_.after(
            commit_duration,
            [this, host, transaction, batch = step.batch]
            {
                const commit_receipt receipt = table_.commit(transaction);
                perform(host, hosts_.at(host)->batcher.commit_completed(
                                  batch, receipt, events_.now()));
            });
    }

    void update_ended(const update_outcome& outcome)
    {
        const row_update update = updates_.at(outcome.id);
        const std::string origin = origins_.at(outcome.id);
        updates_.erase(outcome.id);
        origins_.erase(outcome.id);
        if (update.version || outcome.result != update_result::committed)
            return;
        measurement_.claim_delays.push_back(events_.now() -
                                            claim_starts_.at(outcome.id));
        claim_starts_.erase(outcome.id);
        events_.after(response_duration,
                      [this, origin, update, version = outcome.version] {
                          submit(origin, make_update(update.id + "/s", version,
                                                     update.value));
                      });
    }

    event_queue events_;
    random_source random_;
    double per_second_;
    memory_table table_;
    std::vector<std::string> names_;
    std::map<std::string, std::unique_ptr<batching_host>> hosts_;
    std::map<std::string, time_point> claim_starts_;
    std::map<std::string, std::string> origins_;
    std::map<std::string, row_update> updates_;
    load_measurement measurement_;
};

void measure_group_commit()
{
    struct arrangement
    {
        std::size_t batching_hosts;
        std::chrono::milliseconds interval;
    };
    const std::vector<arrangement> arrangements = {
        {0, std::chrono::milliseconds(20)},
        {0, std::chrono::milliseconds(500)},
        {8, std::chrono::milliseconds(20)},
        {8, std::chrono::milliseconds(50)},
        {16, std::chrono::milliseconds(100)}};
    std::printf("\ngroup commit: %zu hosts, %.0f requests/s, store %lld ms\n",
                fleet_hosts, requests_per_second,
                static_cast<long long>(commit_duration.count()));
    std::printf("  share  batching  interval  transactions/s  rows/s  "
                "claim p50 ms  p99 ms  forwarded KB/s per node\n");
    for (const double share : {0.01, 0.05, 0.10})
    {
        for (const arrangement& tested : arrangements)
        {
            load_measurement measurement =
                loaded_fleet(share, tested.batching_hosts, tested.interval)
                    .run();
            std::vector<std::chrono::nanoseconds>& claim_delays_ns =
                measurement.claim_delays;
            std::sort(claim_delays_ns.begin(), claim_delays_ns.end());
            const double seconds = static_cast<double>(FLAGS_seconds);
            const auto percentile_ms = [&claim_delays_ns](std::size_t percent)
            {
                return static_cast<double>(
                           claim_delays_ns[(claim_delays_ns.size() - 1) *
                                           percent / 100]
                               .count()) /
                       1e6;
            };
            std::printf(
                "  %4.0f%%  %8zu  %5lld ms  %14.0f  %6.0f  %12.1f  %6.1f  "
                "%6.2f\n",
                share * 100, tested.batching_hosts,
                static_cast<long long>(tested.interval.count()),
                static_cast<double>(measurement.transactions) / seconds,
                static_cast<double>(measurement.rows) / seconds,
                percentile_ms(50), percentile_ms(99),
                static_cast<double>(measurement.forwarded_bytes) / seconds /
                    fleet_hosts / 1000);
        }
    }
}

// ========================================================================
// Cost of a decision
// ========================================================================

void measure_cost(std::size_t calls_in_flight)
{
    claim_limits limits;
    limits.max_calls_in_flight = calls_in_flight + 1;
    claim_registry registry("process", limits);
    const time_point now{std::chrono::hours(1)};
    constexpr std::size_t rounds = 20000;
    const auto call_number = [now](std::size_t number)
    {
        claim_call call;
        call.call_id = "call-" + std::to_string(number);
        call.name = {"order-desk", "customer", "key-" + std::to_string(number)};
        call.body_digest = std::string(64, 'd');
        call.deadline = now + std::chrono::seconds(30);
        return call;
    };
    for (std::size_t number = 0; number < calls_in_flight; ++number)
        registry.call_received(call_number(number), now);
    stored_response answer;
    answer.status = 200;
    answer.body = std::string(600, 'b');

    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t number = calls_in_flight;
         number < calls_in_flight + rounds; ++number)
    {
        const claim_call call = call_number(number);
        const std::string claim =
            std::get<update_claim>(registry.call_received(call, now).front())
                .update.id;
        registry.update_completed(
            {claim, update_result::committed, number + 1, {}}, now);
        const std::string settlement =
            std::get<update_claim>(
                registry.call_completed(call.call_id, answer, now).back())
                .update.id;
        registry.update_completed(
            {settlement, update_result::committed, number + 2, {}}, now);
    }
    const std::chrono::nanoseconds elapsed =
        std::chrono::steady_clock::now() - begin;
    std::printf("  %6zu other calls in flight: %lld ns per call "
                "(arrival, claim, response, record)\n",
                calls_in_flight,
                static_cast<long long>(elapsed.count() / rounds));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    run_under_faults();
    measure_group_commit();
    std::printf("\ncost of the registry's decisions\n");
    for (const std::size_t calls_in_flight : {10U, 100U, 1000U, 10000U})
        measure_cost(calls_in_flight);
    return 0;
}
