/** @file
    Measures how long a configuration change takes until it is in force on
    every host, and the network traffic and processor time that this needs.
    Uses the real replicas and editors in virtual time.
*/
#include "configuration/testing/configuration_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <string>
#include <variant>
#include <vector>

DEFINE_uint64(runs, 2000, "number of seeded runs under faults");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(changes, 30, "number of changes per time-to-force measurement");
DEFINE_uint64(text_bytes, 10000, "size of a document in bytes");
DEFINE_string(
    plant, "none",
    "fault injected to verify that the check can fail: conditions, age "
    "or confirmations");

using namespace hibiscusferry;
using namespace hibiscusferry::testing;

namespace
{

void run_under_faults()
{
    const fleet_fault injected_fault =
        FLAGS_plant == "conditions"      ? fleet_fault::ignores_conditions
        : FLAGS_plant == "age"           ? fleet_fault::forgets_age
        : FLAGS_plant == "confirmations" ? fleet_fault::confirms_for_hosts
                                         : fleet_fault::none;
    configuration_report totals;
    std::size_t wrong_runs = 0;
    std::string first_breach;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run)
    {
        const std::uint64_t seed = FLAGS_seed + run;
        const configuration_report report =
            configuration_simulation(seed, injected_fault).run();
        totals.accepted += report.accepted;
        totals.committed += report.committed;
        totals.conflicts += report.conflicts;
        totals.not_written += report.not_written;
        totals.unknown += report.unknown;
        totals.checks_out_of_rotation += report.checks_out_of_rotation;
        if (report.breaches.empty())
            continue;
        ++wrong_runs;
        if (first_breach.empty())
            first_breach = ", first: seed " + std::to_string(seed) + ", " +
                           report.breaches.front();
    }
    std::printf("runs under faults: %llu, wrong: %zu%s\n",
                static_cast<unsigned long long>(FLAGS_runs), wrong_runs,
                first_breach.c_str());
    std::printf("  responses to operators: accepted %zu, committed only %zu, "
                "conflict %zu, not written %zu, unknown %zu\n",
                totals.accepted, totals.committed, totals.conflicts,
                totals.not_written, totals.unknown);
}

struct network_condition
{
    const char* name;
    std::uint64_t message_loss_percent;
    std::chrono::milliseconds store_delay;
    bool has_new_hosts;
};

/** Commits changes one after another and waits until each is in force on
    every host. */
class force_measurement
{
public:
    force_measurement(std::size_t hosts, const network_condition& condition)
        : random_(FLAGS_seed)
        , settings_(settings_of(hosts, condition))
        , condition_(condition)
        , fleet_(events_, random_, settings_)
    {
    }

    void run()
    {
        events_.run_until(events_.now() + std::chrono::seconds(30));
        measure_idle();
        for (std::uint64_t change = 0; change < FLAGS_changes; ++change)
            measure_change(change);
        print();
    }

private:
    static fleet_settings settings_of(std::size_t hosts,
                                      const network_condition& condition)
    {
        fleet_settings settings;
        settings.hosts = hosts;
        settings.message_loss_percent = condition.message_loss_percent;
        settings.store_delay = condition.store_delay;
        return settings;
    }

    void measure_idle()
    {
        const fleet_traffic before = fleet_.traffic();
        constexpr std::chrono::seconds idle_duration{60};
        events_.run_until(events_.now() + idle_duration);
        const fleet_traffic after = fleet_.traffic();
        const double seconds = static_cast<double>(idle_duration.count());
        const double node_seconds =
            seconds * static_cast<double>(fleet_.size());
        messages_ = static_cast<double>(after.messages - before.messages) /
                    node_seconds;
        bytes_ = static_cast<double>(after.bytes - before.bytes) / node_seconds;
        reads_ = static_cast<double>(after.store_reads - before.store_reads) /
                 seconds;
    }

    void measure_change(std::uint64_t number)
    {
        const std::string id = "change-" + std::to_string(number);
        document_change change;
        change.service = "order-desk";
        change.change_id = id;
        const document_record* const current_record =
            fleet_.replica(0).document(change.service);
        change.expected_version =
            current_record == nullptr ? 0 : current_record->version;
        change.author = "operator";
        change.text = std::string(FLAGS_text_bytes, 't');
        const fleet_traffic before = fleet_.traffic();
        const time_point start_time = events_.now();
        fleet_.request(number % fleet_.size(), id, change);
        if (condition_.has_new_hosts)
        {
            for (std::size_t host = 0; host < fleet_.size(); host += 10)
            {
                if (host != number % fleet_.size())
                    fleet_.restart(host);
            }
        }
        time_point committed = start_time;
        const std::string key = document_change_key(change.service, id);
        while (!is_in_force_everywhere(key) &&
               events_.now() < start_time + std::chrono::seconds(60))
        {
            if (!fleet_.table().read(key))
                committed = events_.now();
            events_.run_until(events_.now() + std::chrono::milliseconds(10));
        }
        delays_.push_back(events_.now() - committed);
        events_.run_until(
            std::max(events_.now(), start_time + std::chrono::seconds(20)));
        change_bytes_ += fleet_.traffic().bytes - before.bytes;
        change_time_ += events_.now() - start_time;
    }

    bool is_in_force_everywhere(const std::string& key) const
    {
        const result<table_row> row = fleet_.table().read(key);
        if (!row)
            return false;
        const document_version version =
            document_record::parse(row_stamp::parse(row.value().value).payload)
                .value()
                .version;
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            if (fleet_.replica(host).revision() < version)
                return false;
        }
        return true;
    }

    void print()
    {
        std::sort(delays_.begin(), delays_.end());
        const auto seconds_of = [](std::chrono::nanoseconds duration)
        {
            return static_cast<double>(duration.count()) / 1e9;
        };
        const std::size_t accepted = static_cast<std::size_t>(std::count_if(
            fleet_.responses().begin(), fleet_.responses().end(),
            [](const simulated_fleet::recorded_response& recorded)
            { return recorded.answer.verdict == change_verdict::accepted; }));
        const double change_bytes_per_node =
            (static_cast<double>(change_bytes_) /
                 static_cast<double>(fleet_.size()) -
             bytes_ * seconds_of(change_time_)) /
            static_cast<double>(FLAGS_changes);
        std::printf("  %5zu  %-22s  %6.2f  %6.2f  %4zu/%llu  %6.2f  %6.0f  "
                    "%8.1f  %8.0f\n",
                    fleet_.size(), condition_.name,
                    seconds_of(delays_[delays_.size() / 2]),
                    seconds_of(delays_.back()), accepted,
                    static_cast<unsigned long long>(FLAGS_changes), messages_,
                    bytes_, reads_, change_bytes_per_node);
    }

    event_queue events_;
    random_source random_;
    fleet_settings settings_;
    network_condition condition_;
    simulated_fleet fleet_;
    std::vector<std::chrono::nanoseconds> delays_;
    double messages_ = 0;
    double bytes_ = 0;
    double reads_ = 0;
    std::uint64_t change_bytes_ = 0;
    std::chrono::nanoseconds change_time_{0};
};

void measure_time_to_force()
{
    const std::vector<network_condition> network_conditions = {
        {"5 % loss", 5, std::chrono::milliseconds(10), false},
        {"30 % loss", 30, std::chrono::milliseconds(10), false},
        {"5 % loss, store 1.5 s", 5, std::chrono::milliseconds(750), false},
        {"5 % loss, new hosts", 5, std::chrono::milliseconds(10), true}};
    std::printf("\ntime from commit until in force on every host, documents of "
                "%llu bytes\n",
                static_cast<unsigned long long>(FLAGS_text_bytes));
    std::printf("  hosts  treatment               p50 s   max s  accepted  "
                "msg/s  byte/s  reads/s  bytes per change (per node)\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
    {
        for (const network_condition& condition : network_conditions)
            force_measurement(hosts, condition).run();
    }
}

// ========================================================================
// Cost of a decision
// ========================================================================

/** Measures the processor time of two replicas while no document changes: a
    tick of each, a query and the processing of its reply. */
void measure_cost(std::size_t hosts, std::size_t documents)
{
    std::vector<fleet_host> fleet;
    for (std::size_t host = 0; host < hosts; ++host)
        fleet.push_back({"host-" + std::to_string(host), "region"});
    document_replica queried_replica("host-0", "region", 1, replica_limits());
    document_replica querying_replica("host-1", "region", 2, replica_limits());
    queried_replica.fleet_changed(fleet);
    querying_replica.fleet_changed({fleet[0], fleet[1]});
    time_point now{std::chrono::hours(1)};
    querying_replica.tick(now);
    document_reply full_reply{1,  documents, true, std::chrono::milliseconds(0),
                              {}, true};
    for (std::size_t number = 1; number <= documents; ++number)
    {
        full_reply.documents.push_back({"service-" + std::to_string(number),
                                        number, "change", "operator",
                                        std::string(FLAGS_text_bytes, 't')});
    }
    querying_replica.reply_received("host-0", full_reply, now);
    queried_replica.tick(now);

    constexpr std::uint64_t rounds = 20000;
    std::uint64_t replies = 0;
    const auto start_time = std::chrono::steady_clock::now();
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        now += replica_limits().query_interval;
        for (const replica_action& action : querying_replica.tick(now))
        {
            const send_query* const sent = std::get_if<send_query>(&action);
            if (sent == nullptr)
                continue;
            const document_reply reply =
                querying_replica.answer_query(sent->query, now);
            querying_replica.reply_received(sent->peer, reply, now);
            ++replies;
        }
        queried_replica.tick(now);
    }
    const std::chrono::nanoseconds elapsed =
        std::chrono::steady_clock::now() - start_time;
    std::printf("  %4zu hosts, %4zu documents: %lld ns per second and node "
                "(%llu replies)\n",
                hosts, documents,
                static_cast<long long>(
                    static_cast<std::uint64_t>(elapsed.count()) / rounds),
                static_cast<unsigned long long>(replies));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    run_under_faults();
    if (FLAGS_changes > 0)
        measure_time_to_force();
    std::printf("\ncost of the replica's decisions\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
        measure_cost(hosts, 10);
    measure_cost(370, 1000);
    return 0;
}
