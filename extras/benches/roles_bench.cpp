/** @file
    Compares the role policy with baselines and an offline plan by goodput and
    role changes, on the same traces in virtual time.

    roles_bench --scenario FILE.toml[,FILE.toml...] --seed 1 --seeds 10
                --policy all
*/
#include "roles/policy_table.hpp"

#include <atomic>
#include <cstdio>
#include <gflags/gflags.h>
#include <sstream>
#include <thread>

DEFINE_string(scenario, "", "scenario files, separated by commas");
DEFINE_uint64(seed, 1, "first seed");
DEFINE_uint64(seeds, 1, "number of seeds, counted from --seed");
DEFINE_string(policy, "all", "policies, separated by commas, or all");
DEFINE_uint64(threads, 2, "number of threads; each runs one seed at a time");
DEFINE_bool(check, false, "exit with status 1 when the target is missed");
DEFINE_bool(tune, false, "search the settings of the threshold rule and exit");

namespace hibiscusferry::roles_bench
{

namespace
{

/** Minimum goodput of the policy, as a share of the offline plan's. */
constexpr double target_share = 0.95;
/** Goodputs that differ by less are considered equal: one request in
    2,000. */
constexpr double goodput_tolerance = 0.0005;

std::vector<std::string> split_list(const std::string& text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    for (std::string part; std::getline(stream, part, ',');)
        parts.push_back(part);
    return parts;
}

/** Runs the named policies for all seeds of one scenario. */
std::vector<seed_results> run_scenario(const scenario& config,
                                       const std::vector<std::string>& names)
{
    std::vector<seed_results> results(FLAGS_seeds);
    std::atomic<std::size_t> next{0};
    const auto work = [&]()
    {
        for (std::size_t number = next++; number < results.size();
             number = next++)
        {
            const std::uint64_t seed = FLAGS_seed + number;
            const request_trace trace = make_trace(config, seed);
            results[number].price_requests = change_price(config, trace);
            for (const std::string& name : names)
                results[number].by_policy[name] =
                    run_policy(name, config, trace, seed, results[number]);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint64_t count = 0; count < FLAGS_threads; ++count)
        threads.emplace_back(work);
    for (std::thread& thread : threads)
        thread.join();
    return results;
}

/** Sums over the seeds the goodput minus the cost of the role changes, which
    is weighted by the goodput weight of the service document. */
double weighted_sum(const std::vector<seed_results>& results,
                    const std::string& name)
{
    double sum = 0;
    for (const seed_results& seed_result : results)
    {
        const run_result& run = seed_result.by_policy.at(name);
        sum += run.goodput - seed_result.price_requests * run.role_changes *
                                 run.goodput / run.good_requests;
    }
    return sum;
}

/** Means and worst values of one policy over all seeds. */
struct summary
{
    double goodput = 0;
    double worst_goodput = 1;
    double changes = 0;
    double max_changes = 0;
    double share = 0;
    double worst_share = 1e9;
    double bound_share = 0;
    double max_unavailable = 0;
    double weighted = 0;
};

summary summarise(const std::vector<seed_results>& results,
                  const std::string& name)
{
    summary sum;
    const double count = static_cast<double>(results.size());
    for (const seed_results& seed_result : results)
    {
        const run_result& run = seed_result.by_policy.at(name);
        sum.goodput += run.goodput / count;
        sum.worst_goodput = std::min(sum.worst_goodput, run.goodput);
        sum.changes += run.role_changes / count;
        sum.max_changes = std::max(sum.max_changes, run.role_changes);
        sum.max_unavailable =
            std::max(sum.max_unavailable, run.max_unavailable);
        if (seed_result.by_policy.count("offline") == 0)
            continue;
        const double share =
            run.goodput / seed_result.by_policy.at("offline").goodput;
        sum.share += share / count;
        sum.worst_share = std::min(sum.worst_share, share);
        sum.bound_share += run.goodput / seed_result.bound / count;
    }
    sum.weighted = weighted_sum(results, name) / count;
    return sum;
}

void print_summary(const scenario& config, const std::string& name,
                   const summary& sum)
{
    std::printf(
        "%-26s %-16s %7.2f %7.2f %7.1f %5.0f %7.1f %7.1f %7.1f %7.2f %4.0f\n",
        config.name.c_str(), name.c_str(), 100 * sum.goodput,
        100 * sum.worst_goodput, sum.changes, sum.max_changes, 100 * sum.share,
        100 * sum.worst_share, 100 * sum.bound_share, 100 * sum.weighted,
        sum.max_unavailable);
}

/** Checks the results of the role policy against its target and prints each
    criterion that is missed. */
bool meets_target(const scenario& config,
                  const std::vector<seed_results>& results)
{
    const summary own = summarise(results, "policy");
    const summary offline = summarise(results, "offline");
    bool met = true;
    const auto miss = [&](const char* criterion, double actual, double required)
    {
        std::printf("MISSED %s: %s: %.2f, required %.2f\n", config.name.c_str(),
                    criterion, actual, required);
        met = false;
    };
    if (own.share < target_share)
        miss("share of offline goodput", own.share, target_share);
    if (own.changes > offline.changes)
        miss("role changes", own.changes, offline.changes);
    for (const char* baseline : {"fixed", "threshold"})
    {
        const summary other = summarise(results, baseline);
        if (own.goodput < other.goodput - goodput_tolerance)
            miss(baseline, 100 * own.goodput, 100 * other.goodput);
        if (own.weighted < other.weighted - goodput_tolerance)
            miss((std::string(baseline) + ", weighted").c_str(),
                 100 * own.weighted, 100 * other.weighted);
    }
    return met;
}

bool load_all(std::vector<scenario>& scenarios)
{
    for (const std::string& path : split_list(FLAGS_scenario))
    {
        std::string error_text;
        const result<scenario> loaded = load_scenario(path, error_text);
        if (!loaded)
        {
            std::fprintf(stderr, "%s: %s\n", path.c_str(), error_text.c_str());
            return false;
        }
        scenarios.push_back(loaded.value());
    }
    return !scenarios.empty();
}

/** Searches a grid of settings of the threshold rule over all scenarios and
    prints each improvement. */
void tune(const std::vector<scenario>& scenarios)
{
    double best_value = -1e18;
    for (const double gap : {0.1, 0.2, 0.3, 0.45})
    {
        for (const double use : {0.6, 0.75, 0.9})
        {
            for (const double hold : {0.0, 5.0, 15.0, 40.0})
            {
                for (const double rest : {0.0, 15.0, 45.0})
                {
                    double value = 0;
                    for (scenario config : scenarios)
                    {
                        config.threshold = {gap, use, hold, rest};
                        value += weighted_sum(
                            run_scenario(config, {"threshold"}), "threshold");
                    }
                    if (value <= best_value)
                        continue;
                    best_value = value;
                    std::printf("gap %.2f use %.2f hold %.0f rest %.0f: mean "
                                "weighted goodput %.4f\n",
                                gap, use, hold, rest,
                                value / static_cast<double>(scenarios.size() *
                                                            FLAGS_seeds));
                    std::fflush(stdout);
                }
            }
        }
    }
}

int run_all(const std::vector<scenario>& scenarios)
{
    const std::vector<std::string> names =
        FLAGS_policy == "all" ? all_policies() : split_list(FLAGS_policy);
    std::printf("%-26s %-16s %7s %7s %7s %5s %7s %7s %7s %7s %4s\n", "scenario",
                "policy", "good%", "worst%", "changes", "most", "of-off%",
                "worst%", "of-bnd%", "weight%", "away");
    bool met = true;
    for (const scenario& config : scenarios)
    {
        const std::vector<seed_results> results = run_scenario(config, names);
        for (const std::string& name : names)
            print_summary(config, name, summarise(results, name));
        if (FLAGS_policy == "all")
            met = meets_target(config, results) && met;
        std::fflush(stdout);
    }
    return FLAGS_check && !met ? 1 : 0;
}

} // namespace

} // namespace hibiscusferry::roles_bench

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<hibiscusferry::roles_bench::scenario> scenarios;
    if (!hibiscusferry::roles_bench::load_all(scenarios))
    {
        std::fprintf(stderr, "usage: roles_bench --scenario FILE.toml\n");
        return 2;
    }
    if (FLAGS_tune)
    {
        hibiscusferry::roles_bench::tune(scenarios);
        return 0;
    }
    return hibiscusferry::roles_bench::run_all(scenarios);
}
