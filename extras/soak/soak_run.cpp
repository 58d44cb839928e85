#include "soak/soak_run.hpp"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <thread>

namespace hibiscusferry::soak
{

using review::milliseconds;

namespace
{

constexpr milliseconds ready_timeout{20000};
/** A request that was refused must not run for so long. */
constexpr milliseconds settling_time{5000};
constexpr int first_host = 10;
constexpr int first_target = 50;
constexpr std::size_t max_printed_violations = 20;

std::string zone_of(int number)
{
    const char* const names[] = {"zone-a", "zone-b", "zone-c"};
    return names[number % 3];
}

} // namespace

soak_run::soak_run(const soak_options& options, const fault_set& faults,
                   review::event_record& record)
    : options_(options)
    , faults_(faults)
    , record_(record)
    , random_(options.seed, "fleet")
    , network_(review::loopback_network())
    , ledger_(record)
    , store_(network_ + "1")
    , fleet_{store_, record, {}, {}, {}}
{
}

bool soak_run::run()
{
    start_fleet();
    if (!wait_until_ready())
    {
        record_.say("the processes are not ready");
        return false;
    }
    std::atomic<bool> is_over{false};
    std::vector<std::thread> callers;
    std::vector<std::unique_ptr<soak_caller>> states;
    for (int number = 0; number < options_.callers; ++number)
    {
        states.push_back(std::make_unique<soak_caller>(
            options_.seed, number, fleet_.hosts, ledger_, faults_,
            options_.has_engines));
        callers.emplace_back([&is_over, caller = states.back().get()]
                             { caller->run(is_over); });
    }
    fault_driver driver(options_.seed, fleet_, faults_, options_.has_engines);
    driver.recover(options_.quiet_time);
    driver.run(options_.duration);
    driver.recover(settling_time);
    is_over = true;
    for (std::thread& caller : callers)
        caller.join();
    driver.recover(settling_time);
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        host->kill();

    print_totals();
    const std::vector<violation> violations = ledger_.violations();
    for (std::size_t index = 0;
         index < std::min(violations.size(), max_printed_violations); ++index)
        print(violations[index]);
    record_.say("seed " + std::to_string(options_.seed) + ": " +
                std::to_string(violations.size()) + " violations");
    return violations.empty() && ledger_.count("served") > 0;
}

void soak_run::start_fleet()
{
    store_.put("op", "config",
               configuration(1, 100, options_.has_engines).dump());
    const int targets =
        options_.targets > 0 ? options_.targets : random_.between(5, 8);
    const int processes =
        options_.processes > 0 ? options_.processes : random_.between(2, 6);
    for (int number = 0; number < targets; ++number)
        add_target(number).start("", false);
    // Joins with a later release.
    const bool is_desk = targets % 3 == 0;
    add_target(is_desk ? targets + 1 : targets);
    for (int number = 0; number < processes; ++number)
    {
        fleet_.hosts.push_back(std::make_unique<soak_host>(
            options_.program, options_.folder, network_, first_host + number,
            zone_of(number), store_.port(), ledger_, record_));
        fleet_.hosts.back()->start();
    }
}

soak_target& soak_run::add_target(int number)
{
    // Two of three targets serve the streams.
    const bool is_desk = number % 3 == 0;
    target_settings settings;
    settings.name = (is_desk ? "desk-" : "assistant-") + std::to_string(number);
    settings.service = is_desk ? "desk" : "assistant";
    settings.address = network_ + std::to_string(first_target + number);
    settings.availability_zone = zone_of(number);
    const bool is_old = options_.seed % 2 == 0 && random_.chance(0.3);
    settings.version = is_old ? "v0" : "v1";
    settings.seed = options_.seed;
    if (options_.has_engines && !is_desk)
        settings.stage = number % 3 == 1 ? "prefill" : "decode";
    fleet_.targets.push_back(std::make_unique<soak_target>(
        settings, target_surroundings{store_, ledger_, record_, faults_}));
    soak_target& target = *fleet_.targets.back();
    if (faults_.has("target_proxy") && random_.chance(0.5))
    {
        fleet_.target_proxies.push_back(std::make_unique<tcp_proxy>(
            target.settings().address, target.port()));
        target.register_at(fleet_.target_proxies.back()->port());
    }
    return target;
}

bool soak_run::wait_until_ready()
{
    const review::steady_clock::time_point deadline =
        review::steady_clock::now() + ready_timeout;
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
    {
        while (!host->is_ready())
        {
            if (review::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

void soak_run::print_totals()
{
    std::string text;
    for (const auto& [name, count] : ledger_.totals())
        text += (text.empty() ? "" : ", ") + name + " " + std::to_string(count);
    record_.say(text);
}

void soak_run::print(const violation& broken)
{
    std::printf("\n%s at %.3f s, seed %llu, id=%s: %s\n", broken.rule.c_str(),
                static_cast<double>(broken.at_ms) / 1000,
                static_cast<unsigned long long>(options_.seed),
                broken.request.c_str(), broken.text.c_str());
    print_lines(options_.folder + "/record.txt", broken.request, "rig");
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        print_lines(host->log_path(), broken.request, host->name());
}

void soak_run::print_lines(const std::string& path, const std::string& text,
                           const std::string& prefix)
{
    constexpr std::size_t max_lines = 40;
    constexpr std::size_t max_columns = 400;
    std::ifstream file(path);
    std::size_t lines = 0;
    for (std::string line; std::getline(file, line) && lines < max_lines;)
    {
        if (line.find(text) == std::string::npos)
            continue;
        std::printf("  %s: %s\n", prefix.c_str(),
                    line.substr(0, max_columns).c_str());
        ++lines;
    }
}

} // namespace hibiscusferry::soak
