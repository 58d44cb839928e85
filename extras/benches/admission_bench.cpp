/** @file
    Measures admission: goodput and urgent requests while one workspace floods
    the service, fairness against the theoretical bound, processor time per
    decision, memory, and the enforcement of global limits.

    admission_bench --part=flood|fairness|cost|memory|limits|all
*/
#include "admission/admission.hpp"
#include "admission/flood.hpp"
#include "admission/global_limits.hpp"
#include "admission/queue_policies.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <gflags/gflags.h>
#include <malloc.h>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

DEFINE_string(part, "all", "flood, fairness, cost, memory, limits or all");
DEFINE_uint64(seed, 1, "seed of the workload");

using namespace hibiscusferry;
using namespace hibiscusferry::bench;

namespace
{

// ========================================================================
// Fairness
// ========================================================================

/** Measures the largest difference in served tokens between workspaces that
    always have requests waiting.

    @param policy       the queue to measure
    @param error_sigma  spread of the error between charged and actual costs
    @param slots        number of requests that run concurrently
    @param max_cost     raised to the largest charged or actual cost
    @returns the largest difference, in weighted tokens
*/
double measure_max_gap(queue_policy& policy, double error_sigma, int slots,
                       double& max_cost)
{
    constexpr int workspaces = 10;
    constexpr int requests = 600;
    std::mt19937_64 random(FLAGS_seed);
    std::lognormal_distribution<double> error(0, error_sigma);
    std::vector<double> actual;
    request_number number = 0;
    for (int index = 0; index < requests; ++index)
    {
        for (int workspace = 0; workspace < workspaces; ++workspace)
        {
            // The mean request size grows with the workspace number.
            std::uniform_real_distribution<double> cost(1,
                                                        20.0 + 20 * workspace);
            queued_request request;
            request.number = ++number;
            request.workspace = std::to_string(workspace);
            request.cost = cost(random);
            request.deadline = time_at(1e6);
            actual.push_back(request.cost * error(random));
            max_cost = std::max({max_cost, request.cost, actual.back()});
            policy.offer(request, time_at(0));
        }
    }
    std::vector<double> served(workspaces, 0);
    std::vector<int> remaining(workspaces, requests);
    std::deque<queued_request> running;
    double max_gap = 0;
    while (*std::min_element(remaining.begin(), remaining.end()) > slots)
    {
        const queued_request started = *policy.take(time_at(0));
        running.push_back(started);
        --remaining[std::stoul(started.workspace)];
        if (static_cast<int>(running.size()) < slots)
            continue;
        const queued_request finished = running.front();
        running.pop_front();
        policy.finish(finished, actual[finished.number - 1]);
        served[std::stoul(finished.workspace)] += actual[finished.number - 1];
        const auto range = std::minmax_element(served.begin(), served.end());
        max_gap = std::max(max_gap, *range.second - *range.first);
    }
    return max_gap;
}

void measure_fairness()
{
    std::printf("fairness: 10 customers with requests always waiting, request "
                "sizes 1:10; "
                "gap over the bound of 2 x max cost\n");
    std::printf("%-14s %8s %8s %12s %12s %8s\n", "policy", "error", "slots",
                "gap", "bound", "ratio");
    const std::pair<double, int> cases[] = {{0.0, 1}, {0.4, 1}, {0.4, 32}};
    std::map<std::string, policy_factory> factories = policy_factories(1000000);
    for (const std::pair<double, int>& test_case : cases)
    {
        for (auto entry = factories.begin(); entry != factories.end(); ++entry)
        {
            const std::unique_ptr<queue_policy> policy = entry->second();
            double max_cost = 0;
            const double gap = measure_max_gap(*policy, test_case.first,
                                               test_case.second, max_cost);
            std::printf("%-14s %8.1f %8d %12.0f %12.0f %8.2f\n",
                        entry->first.c_str(), test_case.first, test_case.second,
                        gap, 2 * max_cost, gap / (2 * max_cost));
        }
    }
}

// ========================================================================
// Processor time
// ========================================================================

double nanoseconds_each(std::size_t count, const std::function<void()>& work)
{
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / static_cast<double>(count);
}

void measure_cost()
{
    std::printf("cost: 4 requests waiting per customer; ns per call\n");
    std::printf("%10s %10s %10s %10s %12s\n", "customers", "offer", "take",
                "finish", "limit");
    for (const std::size_t workspaces : {10U, 100U, 1000U, 10000U})
    {
        const std::size_t total = workspaces * 4;
        const std::size_t rounds = std::max<std::size_t>(1, 200000 / total);
        service_document document;
        document.service = "s";
        document.limits.queue_length = static_cast<std::uint32_t>(total * 2);
        std::vector<queued_request> requests(total);
        for (std::size_t index = 0; index < workspaces; ++index)
        {
            workspace_entry entry;
            entry.name = "customer-" + std::to_string(index);
            entry.tokens_per_second = 1000;
            document.workspaces.push_back(entry);
        }
        for (std::size_t index = 0; index < total; ++index)
        {
            requests[index] = {index + 1,
                               document.workspaces[index % workspaces].name,
                               index % 5 == 0 ? queue_lane::urgent
                                              : queue_lane::normal,
                               1.0 + static_cast<double>(index % 97),
                               time_at(1e6),
                               std::chrono::milliseconds(0)};
        }
        fair_queue queue({document.limits.queue_length});
        queue.configure(document, time_at(0));
        workspace_limits limits("host", 1, time_at(0));
        limits.configure(document, time_at(0));
        double offer = 0;
        double take = 0;
        double finish = 0;
        double limit = 0;
        for (std::size_t round = 0; round < rounds; ++round)
        {
            limit += nanoseconds_each(
                total,
                [&]
                {
                    for (const queued_request& request : requests)
                        limits.admit("s", request.workspace, request.lane,
                                     request.cost, time_at(0));
                });
            offer += nanoseconds_each(total,
                                      [&]
                                      {
                                          for (const queued_request& request :
                                               requests)
                                              queue.offer(request, time_at(0));
                                      });
            take += nanoseconds_each(total,
                                     [&]
                                     {
                                         while (queue.take(time_at(0)))
                                         {
                                         }
                                     });
            finish += nanoseconds_each(
                total,
                [&]
                {
                    for (const queued_request& request : requests)
                        queue.finish(request.number, request.cost * 1.1);
                });
        }
        const double count = static_cast<double>(rounds);
        std::printf("%10zu %10.0f %10.0f %10.0f %12.0f\n", workspaces,
                    offer / count, take / count, finish / count, limit / count);
    }
}

// ========================================================================
// Memory
// ========================================================================

double allocated_kilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

void measure_memory()
{
    for (const std::size_t workspaces : {150U, 1500U, 15000U})
    {
        service_document document;
        document.service = "s";
        document.limits.queue_length = 256;
        for (std::size_t index = 0; index < workspaces; ++index)
        {
            workspace_entry entry;
            entry.name = "customer-" + std::to_string(index);
            entry.tokens_per_second = 1000;
            document.workspaces.push_back(entry);
        }
        const double before = allocated_kilobytes();
        fair_queue queue({256});
        queue.configure(document, time_at(0));
        for (request_number number = 1; number <= 256; ++number)
        {
            queue.offer({number, document.workspaces[number % workspaces].name,
                         queue_lane::normal, 1, time_at(1e6),
                         std::chrono::milliseconds(0)},
                        time_at(0));
        }
        const double with_queue = allocated_kilobytes();
        workspace_limits limits("host", 1, time_at(0));
        limits.configure(document, time_at(0));
        const double with_limits = allocated_kilobytes();
        std::printf("memory: %6zu customers: fair_queue with 256 waiting "
                    "%.0f KB, customer_limits %.0f KB\n",
                    workspaces, with_queue - before, with_limits - with_queue);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, std::function<void()>> parts = {
        {"flood",
         []
         {
             measure_flood(FLAGS_seed);
         }},
        {"fairness", measure_fairness},
        {"cost", measure_cost},
        {"memory", measure_memory},
        {"limits", []
         {
             measure_limits(FLAGS_seed);
         }}};
    for (auto part = parts.begin(); part != parts.end(); ++part)
    {
        if (FLAGS_part == "all" || FLAGS_part == part->first)
            part->second();
    }
    return 0;
}
