/** @file
    Measures routing: cache hits and waits against least load on the same
    trace, cost per decision, and memory.

    routing_bench --part=cache|cells|lag|hand_over|cost|memory|all
*/
#include "routing/cache_trace.hpp"
#include "routing/hand_over.hpp"
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
DEFINE_double(hot_share, 0, "lag: part of the requests with one prefix");
DEFINE_uint64(seed, 1, "seed of the trace");

using namespace hibiscusferry;
using namespace hibiscusferry::bench;

namespace
{

const std::pair<const char*, choice_kind> choices[] = {
    {"two_choices", choice_kind::two_choices},
    {"least_load", choice_kind::least_load},
    {"affinity", choice_kind::affinity},
    {"cache_events", choice_kind::cache_events}};

void print_header()
{
    std::printf("%-14s %8s %8s %10s %12s %12s %10s\n", "choice", "load", "hits",
                "imbalance", "wait mean", "wait p95", "not placed");
}

void print_trace(const char* name, double load, const trace_result& result)
{
    std::printf("%-14s %8.2f %7.1f%% %10.3f %9.0f ms %9.0f ms %10zu\n", name,
                load, 100 * result.hit_share, result.imbalance,
                result.mean_wait_ms, result.wait_95_ms, result.not_placed);
}

/** Requests a second at which engines without any cache hits are busy for
    this part of the time. */
double rate_for(double load, std::size_t engines)
{
    return load * static_cast<double>(engines) /
           ((prefix_tokens + suffix_tokens) * prefill_seconds_per_token);
}

void measure_cache()
{
    std::printf("cache: 8 routers, 14 engines, 2,000 prefixes of 4,096 tokens "
                "(Zipf 0.9), 60 in each engine's cache; load without hits\n");
    print_header();
    for (const double load : {0.5, 0.8, 1.2})
    {
        trace_settings settings;
        settings.seed = FLAGS_seed;
        settings.requests_per_second = rate_for(load, settings.engines);
        for (const std::pair<const char*, choice_kind>& choice : choices)
        {
            print_trace(choice.first, load,
                        cache_trace(settings, choice.second).run());
        }
    }
}

void measure_cells()
{
    std::printf("cells: 370 routers, 123 engines of one service, 20,000 "
                "prefixes; what each router knows\n");
    print_header();
    for (const std::size_t known : {24U, 1000U})
    {
        trace_settings settings;
        settings.seed = FLAGS_seed;
        settings.routers = 370;
        settings.engines = 123;
        settings.prefixes = 20000;
        settings.seconds = 30;
        settings.targets_per_router = known;
        settings.requests_per_second = rate_for(0.8, settings.engines);
        for (const std::pair<const char*, choice_kind>& choice : choices)
        {
            const std::string name =
                std::string(choice.first) + (known == 24 ? " 24" : " 123");
            print_trace(name.c_str(), 0.8,
                        cache_trace(settings, choice.second).run());
        }
    }
}

void print_lag(const trace_settings& base, std::size_t known)
{
    for (const double interval : {1.0, 5.0, 20.0, 60.0})
    {
        for (const std::pair<const char*, choice_kind>& choice :
             {choices[0], choices[2]})
        {
            trace_settings settings = base;
            settings.targets_per_router = known;
            settings.report_interval = interval;
            settings.seconds = 90;
            settings.requests_per_second = rate_for(0.8, settings.engines);
            const trace_result result =
                cache_trace(settings, choice.second).run();
            std::printf("%8zu %6zu %9.0f s %9.1f/s %-12s %7.1f%% %9.0f ms "
                        "%9.0f ms\n",
                        base.routers, known, interval,
                        result.reports_per_second, choice.first,
                        100 * result.hit_share, result.mean_wait_ms,
                        result.wait_95_ms);
        }
    }
}

void measure_lag()
{
    std::printf("lag: how often loads are asked for, at a load of 0.8; "
                "%.0f %% of the requests with one prefix\n",
                100 * FLAGS_hot_share);
    std::printf("%8s %6s %11s %11s %-12s %8s %12s %12s\n", "routers", "known",
                "interval", "asked", "choice", "hits", "wait mean", "wait p95");
    trace_settings today;
    today.seed = FLAGS_seed;
    today.hot_share = FLAGS_hot_share;
    print_lag(today, 24);
    trace_settings full = today;
    full.routers = 370;
    full.engines = 123;
    full.prefixes = 20000;
    print_lag(full, 24);
    print_lag(full, 1000);
}

void print_hand_over(const char* name, const hand_over_settings& settings)
{
    const hand_over_result result = hand_over_run(settings).run();
    std::printf("%-26s %8.0f %9.0f/%-5.0f %8.1f%% %10.0f ms %10.0f ms "
                "%10.1f%%\n",
                name, settings.requests_per_second, settings.prompt_tokens,
                settings.answer_tokens, 100 * result.in_time,
                result.first_token_95_ms, result.between_95_ms,
                100 * result.handed_over);
}

void measure_hand_over()
{
    std::printf("hand-over: 14 engines, 8 routers; in time: first token "
                "340 ms, 47 ms between\n");
    std::printf("%-26s %8s %15s %9s %13s %13s %11s\n", "engines", "rate",
                "prompt/answer", "in time", "first p95", "between p95",
                "handed over");
    struct load_point
    {
        double rate;
        double prompt;
        double answer;
    };
    const load_point points[] = {{15, 4000, 100},
                                 {25, 4000, 100},
                                 {15, 1000, 300},
                                 {30, 1000, 300},
                                 {8, 8000, 100}};
    for (const load_point& point : points)
    {
        hand_over_settings settings;
        settings.seed = FLAGS_seed;
        settings.requests_per_second = point.rate;
        settings.prompt_tokens = point.prompt;
        settings.answer_tokens = point.answer;
        print_hand_over("14 mixed, none", settings);
        settings.kv_transfer_allowed = true;
        print_hand_over("14 mixed, where it pays", settings);
        settings.mixed_engines = 4;
        settings.prefill_engines = 4;
        settings.decode_engines = 6;
        print_hand_over("4 prefill 6 decode 4 mixed", settings);
        settings.kv_transfer_allowed = false;
        print_hand_over("the same, none", settings);
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

target_table make_table(std::size_t targets, std::size_t known)
{
    target_table_settings settings;
    settings.subset.targets_per_router = known;
    target_table table("router-0", settings);
    table.set_targets({"router-0"}, make_targets(targets), moment(0));
    return table;
}

double choose_cost(const target_table& table, const selection_request& request)
{
    constexpr std::size_t decisions = 2000;
    send_permission permission("router-0", "s");
    permission.receive(routing_announcement{"s", {1, 1}, {}, permission_term},
                       moment(0));
    selector_settings settings;
    settings.availability_zone = "zone-0";
    target_selector picker(settings, 1);
    std::size_t chosen = 0;
    selection_request next = request;
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    for (std::size_t index = 0; index < decisions; ++index)
    {
        next.prefix = request.prefix == 0 ? 0 : index + 1;
        chosen += picker.choose(table, &permission, next, moment(1)) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return chosen == decisions ? elapsed.count() / decisions : -1;
}

void measure_cost()
{
    std::printf("cost: ns for each choice, by the targets of the service\n");
    std::printf("%10s %10s %12s %12s %14s\n", "targets", "known", "load alone",
                "affinity", "take list, us");
    const std::pair<std::size_t, std::size_t> sizes[] = {
        {10, 100000}, {100, 100000}, {1000, 100000}, {10000, 100000},
        {10, 24},     {100, 24},     {1000, 24},     {10000, 24}};
    for (const std::pair<std::size_t, std::size_t>& size : sizes)
    {
        const std::vector<target_address> targets = make_targets(size.first);
        target_table table = make_table(size.first, size.second);
        selection_request plain;
        plain.kv_transfer_allowed = false;
        plain.prefill_tokens = 1000;
        selection_request with_prefix = plain;
        with_prefix.prefix = 1;
        const double load_alone = choose_cost(table, plain);
        const double affinity = choose_cost(table, with_prefix);
        const std::chrono::steady_clock::time_point begin =
            std::chrono::steady_clock::now();
        table.set_targets({"router-0"}, targets, moment(2));
        const std::chrono::duration<double, std::micro> list =
            std::chrono::steady_clock::now() - begin;
        std::printf("%10zu %10zu %12.0f %12.0f %14.0f\n", size.first,
                    table.targets().size(), load_alone, affinity, list.count());
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
        const std::size_t known = table.targets().size();
        for (std::size_t index = 0; index < known * 16; ++index)
        {
            table.attempt_started(table.targets()[index % known].address.id,
                                  "0123456789abcdef0123456789abcdef" +
                                      std::to_string(index),
                                  1000, moment(1));
        }
        std::printf("memory: %zu targets, %zu known, 16 attempts at each: "
                    "%.0f KB\n",
                    size.first, known, allocated_kilobytes() - before);
    }
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, void (*)()> parts = {
        {"cache", measure_cache}, {"cells", measure_cells},
        {"lag", measure_lag},     {"hand_over", measure_hand_over},
        {"cost", measure_cost},   {"memory", measure_memory}};
    for (auto part = parts.begin(); part != parts.end(); ++part)
    {
        if (FLAGS_part == "all" || FLAGS_part == part->first)
            part->second();
    }
    return 0;
}
