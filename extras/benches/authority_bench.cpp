// Measures leases in virtual time: time to take over after a crash and at a
// planned release, and the store's writes and reads a second.

#include "authority/authority.hpp"

#include <algorithm>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <random>

DEFINE_uint64(seeds, 200, "seeds to run from 1 on");

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

constexpr milliseconds tick_period{100};

/** Hosts in line for leases, over a store that answers in some
    milliseconds. */
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
                auto made = std::make_unique<participant>();
                made->lease = std::make_unique<lease_holder>(
                    "r", "service-" + std::to_string(service),
                    process_identity{name, "1"}, lease_settings(),
                    identifiers_);
                made->lease->set_live_hosts(names);
                made->next_tick = now + milliseconds(random_() % 100);
                // Only the first of a line ever do anything.
                if (made->lease->rank() < lease_settings().candidates)
                    participants_.push_back(std::move(made));
            }
        }
    }

    void run(milliseconds duration)
    {
        const time_point end = now + duration;
        while (now < end)
            step();
    }

    /** Lets time pass until somebody but the ended ones may act. */
    milliseconds run_until_held()
    {
        const time_point begin = now;
        while (!is_held())
            step();
        return std::chrono::duration_cast<milliseconds>(now - begin);
    }

    void crash_holder()
    {
        for (const auto& each : participants_)
            each->ended = each->ended || each->lease->may_act(now);
    }

    void release_holder()
    {
        for (const auto& each : participants_)
        {
            if (!each->lease->may_act(now))
                continue;
            each->released = true;
            perform(*each, each->lease->release(now));
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
        bool ended = false;
        bool released = false;
    };

    bool is_held() const
    {
        return std::any_of(participants_.begin(), participants_.end(),
                           [this](const auto& each) {
                               return !each->ended && each->lease->may_act(now);
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
        for (const auto& each : participants_)
        {
            if (each->ended || now < each->next_tick)
                continue;
            each->next_tick = now + tick_period;
            perform(*each, each->lease->tick(now));
        }
    }

    void perform(participant& from, const lease_actions& actions)
    {
        const milliseconds way(2 + random_() % 20);
        const std::string key = from.lease->key();
        if (actions.read)
        {
            ++reads;
            queue_.emplace(now + way, [this, &from, key]()
                           { answer_read(from, table_.read(key)); });
        }
        if (actions.commit)
        {
            ++writes;
            const table_transaction commit = *actions.commit;
            queue_.emplace(now + way, [this, &from, commit]()
                           { answer_commit(from, commit); });
        }
        if (actions.change == lease_change::released)
            announce_release(key);
    }

    void answer_read(participant& from, const result<table_row>& row)
    {
        if (!from.ended)
            perform(from, from.lease->row_read(row, now));
    }

    void answer_commit(participant& from, const table_transaction& commit)
    {
        const commit_receipt receipt = table_.commit(commit);
        if (!from.ended)
            perform(from,
                    from.lease->commit_finished(commit.write_id, receipt, now));
    }

    /** The peer message of the process that released the lease. */
    void announce_release(const std::string& key)
    {
        for (const auto& each : participants_)
        {
            if (each->lease->key() != key || each->released)
                continue;
            queue_.emplace(
                now + milliseconds(3), [this, &each]()
                { perform(*each, each->lease->release_announced(now)); });
        }
    }

    std::mt19937_64 random_;
    identifier_source identifiers_;
    memory_table table_;
    std::vector<std::unique_ptr<participant>> participants_;
    std::multimap<time_point, std::function<void()>> queue_;
};

void measure_takeover(const char* name, void (lease_bench::*end_holding)())
{
    std::vector<long> taken;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed)
    {
        lease_bench bench(8, 1, seed);
        bench.run(seconds(20) + milliseconds(seed * 37 % 2000));
        (bench.*end_holding)();
        taken.push_back(bench.run_until_held().count());
    }
    std::sort(taken.begin(), taken.end());
    std::printf("%s hosts=8 seeds=%zu median_ms=%ld longest_ms=%ld\n", name,
                taken.size(), taken[taken.size() / 2], taken.back());
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
