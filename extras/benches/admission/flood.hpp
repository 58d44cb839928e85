#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_FLOOD_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_FLOOD_HPP

#include "queue_policies.hpp"
#include <algorithm>
#include <cstdio>
#include <queue>
#include <random>
#include <utility>
#include <vector>

/** @file
    Simulates a service that one workspace floods with requests, to measure the
    goodput and the completion of urgent requests.
*/
namespace hibiscusferry::bench
{

/** Throughput of all targets together, in weighted tokens per second. */
constexpr double service_rate = 1000;
constexpr int service_slots = 8;
constexpr double simulated_seconds = 300;

struct arrival
{
    double arrival_s = 0;
    queued_request request;
    double actual_cost = 0;
};

enum class flood_kind
{
    none,
    normal,
    urgent
};

struct flood_result
{
    double offered_urgent = 0;
    double urgent_on_time = 0;
    double offered_normal = 0;
    double normal_on_time = 0;
    double goodput = 0;
};

inline void add_arrivals(std::vector<arrival>& arrivals,
                         const std::string& workspace, queue_lane lane,
                         double rate, double mean_cost, double timeout_s,
                         std::mt19937_64& random)
{
    std::exponential_distribution<double> arrival_interval(rate / mean_cost);
    // Both distributions have a mean of 1.
    std::lognormal_distribution<double> size(-0.18, 0.6);
    std::lognormal_distribution<double> error(-0.08, 0.4);
    for (double arrival_s = arrival_interval(random);
         arrival_s < simulated_seconds; arrival_s += arrival_interval(random))
    {
        arrival next;
        next.arrival_s = arrival_s;
        next.request.workspace = workspace;
        next.request.lane = lane;
        next.request.cost = mean_cost * size(random);
        next.request.deadline = time_at(arrival_s + timeout_s);
        next.request.expected_run =
            std::chrono::milliseconds(static_cast<std::int64_t>(
                next.request.cost * service_slots / service_rate * 1000));
        next.actual_cost = next.request.cost * error(random);
        arrivals.push_back(next);
    }
}

inline std::vector<arrival> make_arrivals(flood_kind flood, std::uint64_t seed)
{
    std::mt19937_64 random(seed);
    std::vector<arrival> arrivals;
    for (int workspace = 0; workspace < 20; ++workspace)
    {
        const std::string name = "customer-" + std::to_string(workspace);
        add_arrivals(arrivals, name, queue_lane::normal, 30, 200, 20, random);
        add_arrivals(arrivals, name, queue_lane::urgent, 5, 20, 3, random);
    }
    if (flood != flood_kind::none)
    {
        const queue_lane lane = flood == flood_kind::urgent
                                    ? queue_lane::urgent
                                    : queue_lane::normal;
        add_arrivals(arrivals, "flood", lane, 3 * service_rate, 100,
                     lane == queue_lane::urgent ? 3 : 20, random);
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& left, const arrival& right)
              { return left.arrival_s < right.arrival_s; });
    request_number number = 0;
    for (arrival& next : arrivals)
        next.request.number = ++number;
    return arrivals;
}

struct running_request
{
    double end_s = 0;
    request_number number = 0;

    bool operator<(const running_request& other) const
    {
        return end_s > other.end_s;
    }
};

inline void count_completion(const arrival& finished, double end_s,
                             flood_result& counts)
{
    if (time_at(end_s) > finished.request.deadline)
        return;
    counts.goodput += finished.actual_cost / simulated_seconds;
    if (finished.request.workspace == "flood")
        return;
    if (finished.request.lane == queue_lane::urgent)
        counts.urgent_on_time += 1;
    else
        counts.normal_on_time += 1;
}

inline flood_result run_flood(queue_policy& policy,
                              const std::vector<arrival>& arrivals)
{
    flood_result counts;
    std::priority_queue<running_request> running;
    std::size_t next = 0;
    while (next < arrivals.size() || !running.empty())
    {
        double now = 0;
        if (running.empty() || (next < arrivals.size() &&
                                arrivals[next].arrival_s < running.top().end_s))
        {
            const arrival& current = arrivals[next++];
            now = current.arrival_s;
            if (current.request.workspace != "flood")
            {
                (current.request.lane == queue_lane::urgent
                     ? counts.offered_urgent
                     : counts.offered_normal) += 1;
            }
            policy.offer(current.request, time_at(now));
        }
        else
        {
            now = running.top().end_s;
            const arrival& finished = arrivals[running.top().number - 1];
            running.pop();
            policy.finish(finished.request, finished.actual_cost);
            count_completion(finished, now, counts);
        }
        while (running.size() < service_slots)
        {
            const std::optional<queued_request> started =
                policy.take(time_at(now));
            if (!started)
                break;
            const double cost = arrivals[started->number - 1].actual_cost;
            running.push(
                {now + cost * service_slots / service_rate, started->number});
        }
    }
    return counts;
}

inline void measure_flood(std::uint64_t seed)
{
    std::printf("flood: 20 customers offer 70 %% of the capacity (a seventh of "
                "it urgent); the flood offers 300 %%\n");
    std::printf("%-12s %-14s %16s %16s %14s\n", "flood", "policy",
                "urgent on time", "normal on time", "goodput/s");
    const std::pair<const char*, flood_kind> kinds[] = {
        {"none", flood_kind::none},
        {"normal", flood_kind::normal},
        {"urgent", flood_kind::urgent}};
    for (const std::pair<const char*, flood_kind>& kind : kinds)
    {
        const std::vector<arrival> arrivals = make_arrivals(kind.second, seed);
        std::map<std::string, policy_factory> factories = policy_factories(256);
        for (auto entry = factories.begin(); entry != factories.end(); ++entry)
        {
            const std::unique_ptr<queue_policy> policy = entry->second();
            const flood_result counts = run_flood(*policy, arrivals);
            std::printf("%-12s %-14s %15.1f%% %15.1f%% %14.0f\n", kind.first,
                        entry->first.c_str(),
                        100 * counts.urgent_on_time / counts.offered_urgent,
                        100 * counts.normal_on_time / counts.offered_normal,
                        counts.goodput);
        }
    }
}

} // namespace hibiscusferry::bench

#endif
