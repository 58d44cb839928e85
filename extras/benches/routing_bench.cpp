/** @file
    Measures routing: cache hits and waiting times of several selection
    methods on the same trace, KV transfer, processor time per decision, and
    memory.

    routing_bench --part=cache|cells|lag|hand_over|cost|memory|all
*/
#include "routing/cache_trace.hpp"
#include "routing/kv_transfer_simulation.hpp"
#include "routing/routing.hpp"

#include <chrono>
#include <cstdio>
#include <functional>
#include <gflags/gflags.h>
#include <malloc.h>
#include <map>
#include <string>
#include <utility>
#include <vector>

DEFINE_string(part, "all", "cache, cells, lag, hand_over, cost, memory or all");
DEFINE_double(hot_share, 0,
              "lag: share of the requests that have the same prefix");
DEFINE_uint64(seed, 1, "seed of the trace");

using namespace hibiscusferry;
using namespace hibiscusferry::bench;

namespace
{

const std::pair<const char*, selection_method> methods[] = {
    {"two_choices", selection_method::two_choices},
    {"least_load", selection_method::least_load},
    {"affinity", selection_method::affinity},
    {"cache_events", selection_method::cache_events}};

void print_header()
{
    std::printf("%-14s %8s %8s %10s %12s %12s %10s\n", "choice", "load", "hits",
                "imbalance", "wait mean", "wait p95", "unassigned");
}

void print_trace(const char* name, double load, const trace_result& result)
{
    std::printf("%-14s %8.2f %7.1f%% %10.3f %9.0f ms %9.0f ms %10zu\n", name,
                load, 100 * result.hit_share, result.imbalance,
                result.mean_wait_ms, result.wait_95_ms, result.unassigned);
}

/** Calculates the request rate that causes a given utilisation.

    @param load     share of the time in which the engines prefill, without
                    cache hits
    @param engines  number of engines
    @returns requests per second
*/
double rate_for(double load, std::size_t engines)
{
    return load * static_cast<double>(engines) /
           ((prefix_tokens + suffix_tokens) * prefill_seconds_per_token);
}

void measure_cache()
{
    std::printf(
        "cache: 8 routers, 14 engines, 2,000 prefixes of 4,096 tokens "
        "(Zipf 0.9), 60 in each engine's cache; load without cache hits\n");
    print_header();
    for (const double load : {0.5, 0.8, 1.2})
    {
        trace_settings settings;
        settings.seed = FLAGS_seed;
        settings.requests_per_second = rate_for(load, settings.engines);
        for (const std::pair<const char*, selection_method>& method : methods)
        {
            print_trace(method.first, load,
                        cache_trace(settings, method.second).run());
        }
    }
}

void measure_cells()
{
    std::printf("cells: 370 routers, 123 engines of one service, 20,000 "
                "prefixes; by targets known to each router\n");
    print_header();
    for (const std::size_t known_targets : {24U, 1000U})
    {
        trace_settings settings;
        settings.seed = FLAGS_seed;
        settings.routers = 370;
        settings.engines = 123;
        settings.prefixes = 20000;
        settings.seconds = 30;
        settings.targets_per_router = known_targets;
        settings.requests_per_second = rate_for(0.8, settings.engines);
        for (const std::pair<const char*, selection_method>& method : methods)
        {
            const std::string name = std::string(method.first) +
                                     (known_targets == 24 ? " 24" : " 123");
            print_trace(name.c_str(), 0.8,
                        cache_trace(settings, method.second).run());
        }
    }
}

void print_lag(const trace_settings& base, std::size_t known_targets)
{
    for (const double interval : {1.0, 5.0, 20.0, 60.0})
    {
        for (const std::pair<const char*, selection_method>& method :
             {methods[0], methods[2]})
        {
            trace_settings settings = base;
            settings.targets_per_router = known_targets;
            settings.report_interval = interval;
            settings.seconds = 90;
            settings.requests_per_second = rate_for(0.8, settings.engines);
            const trace_result result =
                cache_trace(settings, method.second).run();
            std::printf("%8zu %6zu %9.0f s %9.1f/s %-12s %7.1f%% %9.0f ms "
                        "%9.0f ms\n",
                        base.routers, known_targets, interval,
                        result.reports_per_second, method.first,
                        100 * result.hit_share, result.mean_wait_ms,
                        result.wait_95_ms);
        }
    }
}

void measure_lag()
{
    std::printf("lag: by interval of load polls, at a load of 0.8; "
                "%.0f %% of the requests with one prefix\n",
                100 * FLAGS_hot_share);
    std::printf("%8s %6s %11s %11s %-12s %8s %12s %12s\n", "routers", "known",
                "interval", "asked", "choice", "hits", "wait mean", "wait p95");
    trace_settings small_fleet;
    small_fleet.seed = FLAGS_seed;
    small_fleet.hot_share = FLAGS_hot_share;
    print_lag(small_fleet, 24);
    trace_settings large_fleet = small_fleet;
    large_fleet.routers = 370;
    large_fleet.engines = 123;
    large_fleet.prefixes = 20000;
    print_lag(large_fleet, 24);
    print_lag(large_fleet, 1000);
}

void print_kv_transfer(const char* name, const kv_transfer_settings& settings)
{
    const kv_transfer_result result = kv_transfer_simulation(settings).run();
    std::printf("%-26s %8.0f %9.0f/%-5.0f %8.1f%% %10.0f ms %10.0f ms "
                "%10.1f%%\n",
                name, settings.requests_per_second, settings.prompt_tokens,
                settings.output_tokens, 100 * result.objective_met_share,
                result.first_token_95_ms, result.token_interval_95_ms,
                100 * result.kv_transfer_share);
}

void measure_kv_transfer()
{
    std::printf("KV transfer: 14 engines, 8 routers; objective: first token "
                "340 ms, token interval 47 ms\n");
    std::printf("%-26s %8s %15s %9s %13s %13s %11s\n", "engines", "rate",
                "prompt/answer", "objective", "first p95", "interval p95",
                "transferred");
    struct load_point
    {
        double rate;
        double prompt;
        double output;
    };
    const load_point points[] = {{15, 4000, 100},
                                 {25, 4000, 100},
                                 {15, 1000, 300},
                                 {30, 1000, 300},
                                 {8, 8000, 100}};
    for (const load_point& point : points)
    {
        kv_transfer_settings settings;
        settings.seed = FLAGS_seed;
        settings.requests_per_second = point.rate;
        settings.prompt_tokens = point.prompt;
        settings.output_tokens = point.output;
        print_kv_transfer("14 mixed, no transfer", settings);
        settings.kv_transfer_allowed = true;
        print_kv_transfer("14 mixed, when cheaper", settings);
        settings.mixed_engines = 4;
        settings.prefill_engines = 4;
        settings.decode_engines = 6;
        print_kv_transfer("4 prefill 6 decode 4 mixed", settings);
        settings.kv_transfer_allowed = false;
        print_kv_transfer("the same, no transfer", settings);
    }
}

std::vector<target_address> make_targets(std::size_t count)
{
    std::vector<target_address> targets;
    targets.reserve(count);
    for (std::size_t index = 0; index < count; ++index)
    {
        targets.push_back({"target-" + std::to_string(index),
                           "zone-" + std::to_string(index % 7), "10.0.0.1", 1,
                           false});
    }
    return targets;
}

target_table make_table(std::size_t targets, std::size_t known_targets)
{
    target_table_settings settings;
    settings.subset.targets_per_router = known_targets;
    target_table table("router-0", settings);
    table.set_targets({"router-0"}, make_targets(targets), moment(0));
    return table;
}

double measure_selection_ns(const target_table& table,
                            const selection_request& request)
{
    constexpr std::size_t decisions = 2000;
    send_permission permission("router-0", "s");
    permission.receive(routing_announcement{"s", {1, 1}, {}, permission_term},
                       moment(0));
    selector_settings settings;
    settings.availability_zone = "zone-0";
    target_selector selector(settings, 1);
    std::size_t chosen = 0;
    selection_request next = request;
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < decisions; ++index)
    {
        next.prefix = request.prefix == 0 ? 0 : index + 1;
        chosen += selector.choose(table, &permission, next, moment(1)) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return chosen == decisions ? elapsed.count() / decisions : -1;
}

void measure_cost()
{
    std::printf(
        "cost: ns per selection, by number of targets of the service\n");
    std::printf("%10s %10s %12s %12s %14s\n", "targets", "known", "load only",
                "affinity", "set list, us");
    const std::pair<std::size_t, std::size_t> sizes[] = {
        {10, 100000}, {100, 100000}, {1000, 100000}, {10000, 100000},
        {10, 24},     {100, 24},     {1000, 24},     {10000, 24}};
    for (const std::pair<std::size_t, std::size_t>& size : sizes)
    {
        const std::vector<target_address> targets = make_targets(size.first);
        target_table table = make_table(size.first, size.second);
        selection_request no_prefix;
        no_prefix.kv_transfer_allowed = false;
        no_prefix.prefill_tokens = 1000;
        selection_request with_prefix = no_prefix;
        with_prefix.prefix = 1;
        const double load_only_ns = measure_selection_ns(table, no_prefix);
        const double affinity_ns = measure_selection_ns(table, with_prefix);
        const std::chrono::steady_clock::time_point begin =
            std::chrono::steady_clock::now();
        table.set_targets({"router-0"}, targets, moment(2));
        const std::chrono::duration<double, std::micro> set_targets_us =
            std::chrono::steady_clock::now() - begin;
        std::printf("%10zu %10zu %12.0f %12.0f %14.0f\n", size.first,
                    table.targets().size(), load_only_ns, affinity_ns,
                    set_targets_us.count());
    }
}

double allocated_kilobytes()
{
    return static_cast<double>(mallinfo2().uordblks) / 1024;
}

void measure_memory()
{
    const std::pair<std::size_t, std::size_t> sizes[] = {
        {740, 24}, {740, 100000}, {7400, 24}};
    for (const std::pair<std::size_t, std::size_t>& size : sizes)
    {
        const double before = allocated_kilobytes();
        target_table table = make_table(size.first, size.second);
        const std::size_t known_targets = table.targets().size();
        for (std::size_t index = 0; index < known_targets * 16; ++index)
        {
            table.attempt_started(
                table.targets()[index % known_targets].address.id,
                "0123456789abcdef0123456789abcdef" + std::to_string(index),
                1000, moment(1));
        }
        std::printf("memory: %zu targets, %zu known, 16 attempts per target: "
                    "%.0f KB\n",
                    size.first, known_targets, allocated_kilobytes() - before);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, void (*)()> parts = {
        {"cache", measure_cache}, {"cells", measure_cells},
        {"lag", measure_lag},     {"hand_over", measure_kv_transfer},
        {"cost", measure_cost},   {"memory", measure_memory}};
    for (auto part = parts.begin(); part != parts.end(); ++part)
    {
        if (FLAGS_part == "all" || FLAGS_part == part->first)
            part->second();
    }
    return 0;
}
