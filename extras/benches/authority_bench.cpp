/** @file
    Measures leases in virtual time: how long a new holder needs to take over
    after a crash and after a planned release, and how many writes and reads
    per second the leases cause at the store.
*/

#include "authority/authority.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <random>

DEFINE_uint64(seeds, 200, "number of seeds to run, counted from 1");

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds tick_period{100};

/** Hosts that compete for leases in a store with a simulated response time
    of a few milliseconds. */
class lease_bench
{
public:
    lease_bench(std::size_t hosts, std::size_t services, std::uint64_t seed)
        : random_(seed)
        , identifiers_(seed)
    {
        std::vector<std::string> names;
        for (std::size_t host = 0; host < hosts; ++host)
            names.push_back("host-" + std::to_string(host));
        for (const std::string& name : names)
        {
            for (std::size_t service = 0; service < services; ++service)
            {
                auto candidate = std::make_unique<participant>();
                candidate->lease = std::make_unique<lease_holder>(
                    "r", "service-" + std::to_string(service),
                    process_identity{name, "1"}, lease_settings(),
                    identifiers_);
                candidate->lease->set_live_hosts(names);
                candidate->next_tick = now + milliseconds(random_() % 100);
                // Only the first-ranked candidates of a lease ever act on it,
                // so the other hosts aren't simulated.
                if (candidate->lease->rank() < lease_settings().candidates)
                    participants_.push_back(std::move(candidate));
            }
        }
    }

    void run(milliseconds duration)
    {
        const time_point end = now + duration;
        while (now < end)
            step();
    }

    /** Advances the time until a participant that hasn't crashed holds a
        lease.

        @returns the virtual time that passed
    */
    milliseconds run_until_held()
    {
        const time_point begin = now;
        while (!is_held())
            step();
        return std::chrono::duration_cast<milliseconds>(now - begin);
    }

    void crash_holder()
    {
        for (const auto& member : participants_)
            member->crashed = member->crashed || member->lease->may_act(now);
    }

    void release_holder()
    {
        for (const auto& member : participants_)
        {
            if (!member->lease->may_act(now))
                continue;
            member->released = true;
            perform(*member, member->lease->release(now));
        }
    }

    time_point now;
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;

private:
    struct participant
    {
        std::unique_ptr<lease_holder> lease;
        time_point next_tick;
        bool crashed = false;
        bool released = false;
    };

    bool is_held() const
    {
        return std::any_of(participants_.begin(), participants_.end(),
                           [this](const auto& member) {
                               return !member->crashed &&
                                      member->lease->may_act(now);
                           });
    }

    void step()
    {
        now += milliseconds(10);
        while (!queue_.empty() && queue_.begin()->first <= now)
        {
            const std::function<void()> action = queue_.begin()->second;
            queue_.erase(queue_.begin());
            action();
        }
        for (const auto& member : participants_)
        {
            if (member->crashed || now < member->next_tick)
                continue;
            member->next_tick = now + tick_period;
            perform(*member, member->lease->tick(now));
        }
    }

    void perform(participant& source, const lease_actions& actions)
    {
        const milliseconds store_delay(2 + random_() % 20);
        const std::string key = source.lease->key();
        if (actions.read)
        {
            ++reads;
            queue_.emplace(now + store_delay, [this, &source, key]()
                           { complete_read(source, table_.read(key)); });
        }
        if (actions.commit)
        {
            ++writes;
            const table_transaction commit = *actions.commit;
            queue_.emplace(now + store_delay, [this, &source, commit]()
                           { complete_commit(source, commit); });
        }
        if (actions.change == lease_change::released)
            announce_release(key);
    }

    void complete_read(participant& source, const result<table_row>& row)
    {
        if (!source.crashed)
            perform(source, source.lease->row_read(row, now));
    }

    void complete_commit(participant& source, const table_transaction& commit)
    {
        const commit_receipt receipt = table_.commit(commit);
        if (!source.crashed)
            perform(source, source.lease->commit_finished(commit.write_id,
                                                          receipt, now));
    }

    /** Sends the message that announces a released lease to the peers of
        its former holder. */
    void announce_release(const std::string& key)
    {
        for (const auto& member : participants_)
        {
            if (member->lease->key() != key || member->released)
                continue;
            queue_.emplace(
                now + milliseconds(3), [this, &member]()
                { perform(*member, member->lease->release_announced(now)); });
        }
    }

    std::mt19937_64 random_;
    identifier_source identifiers_;
    memory_table table_;
    std::vector<std::unique_ptr<participant>> participants_;
    std::multimap<time_point, std::function<void()>> queue_;
};

void measure_takeover(const char* name, void (lease_bench::*end_tenure)())
{
    std::vector<long> takeover_times_ms;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed)
    {
        lease_bench bench(8, 1, seed);
        bench.run(seconds(20) + milliseconds(seed * 37 % 2000));
        (bench.*end_tenure)();
        takeover_times_ms.push_back(bench.run_until_held().count());
    }
    std::sort(takeover_times_ms.begin(), takeover_times_ms.end());
    std::printf("%s hosts=8 seeds=%zu median_ms=%ld longest_ms=%ld\n", name,
                takeover_times_ms.size(),
                takeover_times_ms[takeover_times_ms.size() / 2],
                takeover_times_ms.back());
}

void measure_store(std::size_t hosts, std::size_t services)
{
    lease_bench bench(hosts, services, 1);
    bench.run(seconds(20));
    const std::uint64_t writes = bench.writes;
    const std::uint64_t reads = bench.reads;
    bench.run(seconds(100));
    std::printf("store hosts=%zu leases=%zu writes/s=%.2f reads/s=%.2f\n",
                hosts, services,
                static_cast<double>(bench.writes - writes) / 100,
                static_cast<double>(bench.reads - reads) / 100);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure_takeover("crash", &lease_bench::crash_holder);
    measure_takeover("release", &lease_bench::release_holder);
    measure_store(8, 2);
    measure_store(8, 12);
    measure_store(370, 24);
    return 0;
}
