// Measures how long a change of configuration takes to be in force on every
// host, and what that costs, with the real replicas and editors in virtual
// time.
#include "configuration/testing/configuration_simulation.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <gflags/gflags.h>
#include <string>
#include <variant>
#include <vector>

DEFINE_uint64(runs, 2000, "seeded runs under faults");
DEFINE_uint64(seed, 1, "seed of the first run");
DEFINE_uint64(changes, 30, "changes of each time-to-force figure");
DEFINE_uint64(text_bytes, 10000, "size of a document");
DEFINE_string(plant, "none",
              "fault planted to see that the check can fail: conditions, age "
              "or confirmations");

using namespace hibiscusferry;
using namespace hibiscusferry::testing;

namespace
{

void run_under_faults()
{
    const fleet_fault plant =
        FLAGS_plant == "conditions"      ? fleet_fault::ignores_conditions
        : FLAGS_plant == "age"           ? fleet_fault::forgets_age
        : FLAGS_plant == "confirmations" ? fleet_fault::confirms_for_hosts
                                         : fleet_fault::none;
    configuration_report sum;
    std::size_t wrong_runs = 0;
    std::string first;
    for (std::uint64_t run = 0; run < FLAGS_runs; ++run)
    {
        const std::uint64_t seed = FLAGS_seed + run;
        const configuration_report report =
            configuration_simulation(seed, plant).run();
        sum.accepted += report.accepted;
        sum.committed += report.committed;
        sum.conflicts += report.conflicts;
        sum.not_written += report.not_written;
        sum.unknown += report.unknown;
        sum.checks_out_of_rotation += report.checks_out_of_rotation;
        if (report.breaches.empty())
            continue;
        ++wrong_runs;
        if (first.empty())
            first = ", first: seed " + std::to_string(seed) + ", " +
                    report.breaches.front();
    }
    std::printf("runs under faults: %llu, wrong: %zu%s\n",
                static_cast<unsigned long long>(FLAGS_runs), wrong_runs,
                first.c_str());
    std::printf("  operators told: accepted %zu, committed only %zu, "
                "conflict %zu, not written %zu, unknown %zu\n",
                sum.accepted, sum.committed, sum.conflicts, sum.not_written,
                sum.unknown);
}

struct treatment
{
    const char* name;
    std::uint64_t message_loss_percent;
    std::chrono::milliseconds store_delay;
    bool has_new_hosts;
};

/** Commits changes one after another and waits until each is in force. */
class force_measurement
{
public:
    force_measurement(std::size_t hosts, const treatment& chosen)
        : random_(FLAGS_seed)
        , settings_(settings_of(hosts, chosen))
        , chosen_(chosen)
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
                                      const treatment& chosen)
    {
        fleet_settings settings;
        settings.hosts = hosts;
        settings.message_loss_percent = chosen.message_loss_percent;
        settings.store_delay = chosen.store_delay;
        return settings;
    }

    void measure_idle()
    {
        const fleet_traffic before = fleet_.traffic();
        constexpr std::chrono::seconds span{60};
        events_.run_until(events_.now() + span);
        const fleet_traffic after = fleet_.traffic();
        const double seconds = static_cast<double>(span.count());
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
        const document_record* const held =
            fleet_.replica(0).document(change.service);
        change.expected_version = held == nullptr ? 0 : held->version;
        change.author = "operator";
        change.text = std::string(FLAGS_text_bytes, 't');
        const fleet_traffic before = fleet_.traffic();
        const time_point begun = events_.now();
        fleet_.request(number % fleet_.size(), id, change);
        if (chosen_.has_new_hosts)
        {
            for (std::size_t host = 0; host < fleet_.size(); host += 10)
            {
                if (host != number % fleet_.size())
                    fleet_.restart(host);
            }
        }
        time_point committed = begun;
        const std::string key = document_change_key(change.service, id);
        while (!is_in_force_everywhere(key) &&
               events_.now() < begun + std::chrono::seconds(60))
        {
            if (!fleet_.table().read(key))
                committed = events_.now();
            events_.run_until(events_.now() + std::chrono::milliseconds(10));
        }
        delays_.push_back(events_.now() - committed);
        events_.run_until(
            std::max(events_.now(), begun + std::chrono::seconds(20)));
        change_bytes_ += fleet_.traffic().bytes - before.bytes;
        change_time_ += events_.now() - begun;
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
                    fleet_.size(), chosen_.name,
                    seconds_of(delays_[delays_.size() / 2]),
                    seconds_of(delays_.back()), accepted,
                    static_cast<unsigned long long>(FLAGS_changes), messages_,
                    bytes_, reads_, change_bytes_per_node);
    }

    event_queue events_;
    random_source random_;
    fleet_settings settings_;
    treatment chosen_;
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
    const std::vector<treatment> treatments = {
        {"5 % loss", 5, std::chrono::milliseconds(10), false},
        {"30 % loss", 30, std::chrono::milliseconds(10), false},
        {"5 % loss, store 1.5 s", 5, std::chrono::milliseconds(750), false},
        {"5 % loss, new hosts", 5, std::chrono::milliseconds(10), true}};
    std::printf("\ntime from commit to force on every host, documents of "
                "%llu bytes\n",
                static_cast<unsigned long long>(FLAGS_text_bytes));
    std::printf("  hosts  treatment               p50 s   max s  accepted  "
                "msg/s  byte/s  reads/s  bytes a change (a node)\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
    {
        for (const treatment& chosen : treatments)
            force_measurement(hosts, chosen).run();
    }
}

// ========================================================================
// Cost of a decision
// ========================================================================

/** A query answered by one replica and its reply taken by another, nothing
    being new, with a tick of each. */
void measure_cost(std::size_t hosts, std::size_t documents)
{
    std::vector<fleet_host> fleet;
    for (std::size_t host = 0; host < hosts; ++host)
        fleet.push_back({"host-" + std::to_string(host), "region"});
    document_replica asked("host-0", "region", 1, replica_limits());
    document_replica asking("host-1", "region", 2, replica_limits());
    asked.fleet_changed(fleet);
    asking.fleet_changed({fleet[0], fleet[1]});
    time_point now{std::chrono::hours(1)};
    asking.tick(now);
    document_reply all{1,  documents, true, std::chrono::milliseconds(0),
                       {}, true};
    for (std::size_t number = 1; number <= documents; ++number)
    {
        all.documents.push_back({"service-" + std::to_string(number), number,
                                 "change", "operator",
                                 std::string(FLAGS_text_bytes, 't')});
    }
    asking.reply_received("host-0", all, now);
    asked.tick(now);

    constexpr std::uint64_t rounds = 20000;
    std::uint64_t replies = 0;
    const auto begin = std::chrono::steady_clock::now();
    for (std::uint64_t round = 0; round < rounds; ++round)
    {
        now += replica_limits().query_interval;
        for (const replica_action& action : asking.tick(now))
        {
            const send_query* const sent = std::get_if<send_query>(&action);
            if (sent == nullptr)
                continue;
            const document_reply reply = asking.answer_query(sent->query, now);
            asking.reply_received(sent->peer, reply, now);
            ++replies;
        }
        asked.tick(now);
    }
    const std::chrono::nanoseconds spent =
        std::chrono::steady_clock::now() - begin;
    std::printf("  %4zu hosts, %4zu documents: %lld ns a second of a node "
                "(%llu replies)\n",
                hosts, documents,
                static_cast<long long>(
                    static_cast<std::uint64_t>(spent.count()) / rounds),
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
