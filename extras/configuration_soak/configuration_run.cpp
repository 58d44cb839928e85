#include "configuration_soak/configuration_run.hpp"

#include <array>
#include <csignal>
#include <fstream>
#include <set>
#include <thread>

namespace hibiscusferry::soak
{

using review::milliseconds;

namespace
{

constexpr milliseconds ready_timeout{30000};
constexpr milliseconds driver_step{20};
constexpr milliseconds probe_interval{80};
constexpr milliseconds request_timeout{1000};
constexpr int first_host = 10;
/** The share of the hosts that are disturbed together. */
constexpr double some = 0.3;

/** A bound of the settings of all hosts. */
milliseconds bound(const char* name)
{
    static const nlohmann::json settings =
        review::machine_settings("127.0.0.", 1, "zone-a", 1);
    return milliseconds(settings.at("bounds").at(name).get<int>());
}

} // namespace

configuration_run::configuration_run(const configuration_options& options,
                                     review::event_record& record)
    : options_(options)
    , record_(record)
    , random_(options.seed, "configuration")
    , network_(review::loopback_network())
    , ledger_(record)
    , store_(network_ + "1")
    , versions_(store_, record, bound("config-apply-ms"))
{
}

bool configuration_run::run()
{
    versions_.write_next();
    for (int number = 0; number < options_.zone_processes; ++number)
        add_host(first_host + number, "zone-a");
    for (int number = 0; number < options_.other_processes; ++number)
        add_host(first_host + options_.zone_processes + number,
                 number % 2 == 0 ? "zone-b" : "zone-c");
    if (!wait_until_ready())
    {
        record_.say("the processes are not ready");
        end_all();
        return false;
    }
    std::vector<std::thread> probes;
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
        probes.emplace_back([this, &host] { probe(*host); });
    inject_faults();
    is_over_ = true;
    for (std::thread& thread : probes)
        thread.join();
    end_all();

    const std::vector<violation> violations = ledger_.violations();
    for (const violation& broken : violations)
        record_.say(broken.rule + " at " + std::to_string(broken.at_ms) +
                    " ms: " + broken.text);
    record_.say("seed " + std::to_string(options_.seed) + ": " +
                std::to_string(judged_requests_) + " requests, " +
                std::to_string(violations.size()) + " violations");
    return violations.empty() && judged_requests_ > 0;
}

void configuration_run::add_host(int number,
                                 const std::string& availability_zone)
{
    hosts_.push_back(std::make_unique<disturbed_host>());
    hosts_.back()->host = std::make_unique<soak_host>(
        options_.program, options_.folder, network_, number, availability_zone,
        store_.port(), ledger_, record_);
    hosts_.back()->host->start();
}

bool configuration_run::wait_until_ready()
{
    const std::int64_t deadline_ms = record_.now_ms() + ready_timeout.count();
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
    {
        while (!host->host->is_ready())
        {
            if (record_.now_ms() > deadline_ms)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
        // Counts the start as a disturbance.
        host->disturbances.begin();
        host->disturbances.end(record_.now_ms());
    }
    return true;
}

void configuration_run::end_all()
{
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
        host->host->kill();
}

// ========================================================================
// Faults

void configuration_run::inject_faults()
{
    static const std::array<fault, 9> faults{
        &configuration_run::silence_some,
        &configuration_run::silence_all,
        &configuration_run::cut_off_some,
        &configuration_run::stop_some,
        &configuration_run::stop_relays,
        &configuration_run::stop_relays_in_turn,
        &configuration_run::stop_relays_in_turn,
        &configuration_run::kill_some,
        &configuration_run::terminate_some};
    const std::int64_t end_ms = record_.now_ms() + options_.duration.count();
    std::int64_t next_fault_ms = record_.now_ms();
    std::int64_t next_version_ms = record_.now_ms();
    while (record_.now_ms() < end_ms)
    {
        const std::int64_t now_ms = record_.now_ms();
        if (now_ms >= next_fault_ms)
        {
            const int choice =
                random_.between(0, static_cast<int>(faults.size()) - 1);
            const fault inject =
                options_.loses_only_relays
                    ? &configuration_run::stop_relays_in_turn
                    : faults.at(static_cast<std::size_t>(choice));
            (this->*inject)();
            next_fault_ms = now_ms + (options_.loses_only_relays
                                          ? random_.between(14000, 16000)
                                          : random_.between(600, 4000));
        }
        if (now_ms >= next_version_ms)
        {
            versions_.write_next();
            next_version_ms = now_ms + random_.between(100, 1500);
        }
        run_due_tasks();
        std::this_thread::sleep_for(driver_step);
    }
}

void configuration_run::silence_some()
{
    disturb(some, &configuration_run::silence);
}

void configuration_run::silence_all()
{
    disturb(1, &configuration_run::silence);
}

void configuration_run::cut_off_some()
{
    disturb(some, &configuration_run::cut_off);
}

void configuration_run::stop_some()
{
    disturb(some, &configuration_run::stop);
}

void configuration_run::stop_relays()
{
    std::set<std::string> relays;
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
        relays.insert(relay_of(*host->host));
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
    {
        if (relays.count(host->host->name()) > 0)
            disturb(*host, &configuration_run::stop);
    }
}

void configuration_run::stop_relays_in_turn()
{
    constexpr milliseconds interval{400};
    constexpr int relays = 5;
    // Long enough for the hosts to count as undisturbed again.
    const milliseconds silence_at(random_.between(2500, 5000));
    const milliseconds second_at = silence_at + bound("stable-window-ms") +
                                   milliseconds(random_.between(0, 1500));
    for (int number = 0; number < relays; ++number)
    {
        after(number * interval, [this] { stop_relays(); });
        after(second_at + number * interval, [this] { stop_relays(); });
    }
    after(silence_at, [this] { silence_all(); });
}

void configuration_run::kill_some()
{
    disturb(some, &configuration_run::kill);
}

void configuration_run::terminate_some()
{
    disturb(some, &configuration_run::terminate);
}

void configuration_run::disturb(double share, host_fault inject)
{
    for (const std::unique_ptr<disturbed_host>& host : hosts_)
    {
        if (random_.chance(share))
            disturb(*host, inject);
    }
}

void configuration_run::disturb(disturbed_host& host, host_fault inject)
{
    if (!host.disturbances.undisturbed_since())
        return;
    host.disturbances.begin();
    (this->*inject)(host);
}

std::string configuration_run::relay_of(const soak_host& host)
{
    std::ifstream log(host.log_path());
    std::string relay;
    for (std::string line; std::getline(log, line);)
    {
        if (line.find("\"relay_chosen\"") != std::string::npos)
            relay = nlohmann::json::parse(line).value("relay", relay);
    }
    return relay;
}

void configuration_run::silence(disturbed_host& host)
{
    record_.add("silence " + host.host->name());
    host.host->store_proxy().silence_connections(random_.chance(0.5), true);
    host.disturbances.end(record_.now_ms());
}

void configuration_run::cut_off(disturbed_host& host)
{
    record_.add("cut off " + host.host->name());
    host.host->store_proxy().block(true);
    host.host->store_proxy().silence_connections(true, true);
    end_after(milliseconds(random_.between(300, 5000)), host,
              [&host] { host.host->store_proxy().block(false); });
}

void configuration_run::stop(disturbed_host& host)
{
    host.host->signal(SIGSTOP);
    end_after(milliseconds(random_.between(300, 4000)), host,
              [&host] { host.host->signal(SIGCONT); });
}

void configuration_run::kill(disturbed_host& host)
{
    host.host->kill();
    end_after(milliseconds(random_.between(300, 1500)), host,
              [&host] { host.host->start(); });
}

void configuration_run::terminate(disturbed_host& host)
{
    host.host->stop();
    end_after(milliseconds(random_.between(3000, 6000)), host,
              [&host]
              {
                  host.host->kill();
                  host.host->start();
              });
}

void configuration_run::after(milliseconds delay, std::function<void()> task)
{
    tasks_.emplace(record_.now_ms() + delay.count(), std::move(task));
}

void configuration_run::end_after(milliseconds delay, disturbed_host& host,
                                  std::function<void()> task)
{
    after(delay,
          [this, &host, task = std::move(task)]
          {
              task();
              record_.add("end " + host.host->name());
              host.disturbances.end(record_.now_ms());
          });
}

void configuration_run::run_due_tasks()
{
    while (!tasks_.empty() && tasks_.begin()->first <= record_.now_ms())
    {
        const std::function<void()> task = tasks_.begin()->second;
        tasks_.erase(tasks_.begin());
        task();
    }
}

// ========================================================================
// Probes

void configuration_run::probe(disturbed_host& host)
{
    const std::int64_t stable_ms = bound("stable-window-ms").count();
    for (; !is_over_; std::this_thread::sleep_for(probe_interval))
    {
        const std::int64_t sent_at_ms = record_.now_ms();
        const std::optional<std::int64_t> undisturbed_since =
            host.disturbances.undisturbed_since();
        const int version = versions_.due_version(sent_at_ms);
        if (!undisturbed_since || sent_at_ms < *undisturbed_since + stable_ms ||
            version == 0)
            continue;
        const std::string id = review::next_request_id();
        const int status = ask(*host.host, version_log::path_of(version), id);
        if (host.disturbances.undisturbed_since() != undisturbed_since)
            continue;
        ++judged_requests_;
        if (status == 404)
            ledger_.report("CONFIG", id,
                           host.host->name() + " has no route of version " +
                               std::to_string(version));
    }
}

int configuration_run::ask(const soak_host& host, const std::string& path,
                           const std::string& id) const
{
    const std::unique_ptr<review::connection> peer =
        review::connection::open(host.address(), host.port(), request_timeout);
    if (!peer || !peer->write("GET " + path + "x HTTP/1.1\r\nHost: " +
                              route_host() + "\r\nX-Request-Id: " + id +
                              "\r\nX-Deadline-Ms: 1000\r\n"
                              "Connection: close\r\n\r\n"))
        return 0;
    const std::optional<review::message_head> head =
        peer->read_head(request_timeout);
    return head ? head->status() : 0;
}

} // namespace hibiscusferry::soak
