// Measures the claims module: seeded runs of calls under faults, the group
// commit's transactions a second at full size, and the cost of a decision.
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

DEFINE_uint64(runs, 10000, "seeded runs under faults");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(seconds, 20, "virtual seconds of each group commit figure");
DEFINE_string(plant, "none",
              "fault planted to see that the check can fail: starts, "
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
    claim_report sum;
    std::size_t wrong_runs = 0;
    std::string first;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run)
    {
        const std::uint64_t seed = FLAGS_seed + run;
        const claim_report report = claim_simulation(seed, router, table).run();
        sum.calls += report.calls;
        sum.target_runs += report.target_runs;
        sum.kills += report.kills;
        sum.commits += report.commits;
        sum.max_runs_per_key =
            std::max(sum.max_runs_per_key, report.max_runs_per_key);
        for (std::size_t index = 0; index < sum.verdicts.size(); ++index)
            sum.verdicts[index] += report.verdicts[index];
        if (report.breaches.empty())
            continue;
        ++wrong_runs;
        if (first.empty())
            first =
                "seed " + std::to_string(seed) + ", " + report.breaches.front();
    }
    const std::size_t told = std::accumulate(
        sum.verdicts.begin(), sum.verdicts.end(), std::size_t{0});
    std::printf("runs under faults: %llu, wrong: %zu%s%s\n",
                static_cast<unsigned long long>(FLAGS_runs), wrong_runs,
                first.empty() ? "" : ", first: ", first.c_str());
    std::printf("  calls %zu, runs at the target %zu, most runs of a key %zu, "
                "routers killed %zu, transactions %llu\n",
                sum.calls, sum.target_runs, sum.max_runs_per_key, sum.kills,
                static_cast<unsigned long long>(sum.commits));
    std::printf("  callers told: answered %zu, in progress %zu, unknown %zu, "
                "key reused %zu, not run %zu, barred %zu; "
                "router died first %zu\n",
                sum.verdicts[0], sum.verdicts[1], sum.verdicts[2],
                sum.verdicts[3], sum.verdicts[4], sum.verdicts[5],
                sum.calls - told);
}

// ========================================================================
// Group commit at full size
// ========================================================================

constexpr std::size_t fleet_hosts = 370;
constexpr double requests_per_second = 6800;
constexpr std::chrono::milliseconds store_time{10};
constexpr std::chrono::milliseconds target_time{200};

struct load_figure
{
    std::uint64_t claims = 0;
    std::uint64_t transactions = 0;
    std::uint64_t rows = 0;
    std::uint64_t forwarded_bytes = 0;
    std::vector<std::chrono::nanoseconds> claim_delays;
};

/** The hosts of a fleet with their real batchers and forwarders over a
    store that always answers in time. */
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

    load_figure run()
    {
        const std::size_t count = static_cast<std::size_t>(
            per_second_ * static_cast<double>(FLAGS_seconds));
        const std::uint64_t span = FLAGS_seconds * 1000000;
        for (std::size_t index = 0; index < count; ++index)
        {
            const std::chrono::microseconds start(random_.below(span));
            events_.after(start, [this, index] { claim(index); });
        }
        events_.run_until(events_.now() + std::chrono::seconds(FLAGS_seconds));
        figure_.claims = count;
        return figure_;
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

    /** A claim and, when it is committed, the record of its outcome. */
    void claim(std::size_t index)
    {
        const std::string& host = names_[random_.below(fleet_hosts)];
        const std::string id = std::to_string(index);
        begun_[id] = events_.now();
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
                figure_.forwarded_bytes += update.key.size() +
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
                ended(std::get<update_outcome>(action));
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
        ++figure_.transactions;
        figure_.rows += transaction.writes.size();
        events_.after(
            store_time,
            [this, host, transaction, batch = step.batch]
            {
                const commit_receipt receipt = table_.commit(transaction);
                perform(host, hosts_.at(host)->batcher.commit_completed(
                                  batch, receipt, events_.now()));
            });
    }

    void ended(const update_outcome& outcome)
    {
        const row_update update = updates_.at(outcome.id);
        const std::string origin = origins_.at(outcome.id);
        updates_.erase(outcome.id);
        origins_.erase(outcome.id);
        if (update.version || outcome.result != update_result::committed)
            return;
        figure_.claim_delays.push_back(events_.now() - begun_.at(outcome.id));
        begun_.erase(outcome.id);
        events_.after(target_time,
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
    std::map<std::string, time_point> begun_;
    std::map<std::string, std::string> origins_;
    std::map<std::string, row_update> updates_;
    load_figure figure_;
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
                static_cast<long long>(store_time.count()));
    std::printf("  share  batching  interval  transactions/s  rows/s  "
                "claim p50 ms  p99 ms  forwarded KB/s a node\n");
    for (const double share : {0.01, 0.05, 0.10})
    {
        for (const arrangement& chosen : arrangements)
        {
            load_figure figure =
                loaded_fleet(share, chosen.batching_hosts, chosen.interval)
                    .run();
            std::vector<std::chrono::nanoseconds>& delays = figure.claim_delays;
            std::sort(delays.begin(), delays.end());
            const double seconds = static_cast<double>(FLAGS_seconds);
            const auto at = [&delays](std::size_t percent)
            {
                return static_cast<double>(
                           delays[(delays.size() - 1) * percent / 100]
                               .count()) /
                       1e6;
            };
            std::printf(
                "  %4.0f%%  %8zu  %5lld ms  %14.0f  %6.0f  %12.1f  %6.1f  "
                "%6.2f\n",
                share * 100, chosen.batching_hosts,
                static_cast<long long>(chosen.interval.count()),
                static_cast<double>(figure.transactions) / seconds,
                static_cast<double>(figure.rows) / seconds, at(50), at(99),
                static_cast<double>(figure.forwarded_bytes) / seconds /
                    fleet_hosts / 1000);
        }
    }
}

// ========================================================================
// Cost of a decision
// ========================================================================

void measure_cost(std::size_t open)
{
    claim_limits limits;
    limits.max_calls_in_flight = open + 1;
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
    for (std::size_t number = 0; number < open; ++number)
        registry.call_received(call_number(number), now);
    stored_response answer;
    answer.status = 200;
    answer.body = std::string(600, 'b');

    const auto begin = std::chrono::steady_clock::now();
    for (std::size_t number = open; number < open + rounds; ++number)
    {
        const claim_call call = call_number(number);
        const std::string claim =
            std::get<update_claim>(registry.call_received(call, now).front())
                .update.id;
        registry.update_completed(
            {claim, update_result::committed, number + 1, {}}, now);
        const std::string settled =
            std::get<update_claim>(
                registry.call_completed(call.call_id, answer, now).back())
                .update.id;
        registry.update_completed(
            {settled, update_result::committed, number + 2, {}}, now);
    }
    const std::chrono::nanoseconds spent =
        std::chrono::steady_clock::now() - begin;
    std::printf("  %6zu other calls open: %lld ns a call "
                "(arrival, claim, answer, record)\n",
                open, static_cast<long long>(spent.count() / rounds));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    run_under_faults();
    measure_group_commit();
    std::printf("\ncost of the registry's decisions\n");
    for (const std::size_t open : {10U, 100U, 1000U, 10000U})
        measure_cost(open);
    return 0;
}
