#include "soak/fault_driver.hpp"

#include <csignal>
#include <thread>

namespace hibiscusferry::soak
{

using review::milliseconds;

namespace
{

constexpr milliseconds step_interval{10};
/** After so long the platform may give an address to another target. */
constexpr milliseconds address_reuse{2000};
constexpr milliseconds drain_time{2000};

} // namespace

fault_driver::fault_driver(std::uint64_t seed, soak_fleet& fleet,
                           const fault_set& faults, bool has_engines)
    : random_(seed, "faults")
    , fleet_(fleet)
    , faults_(faults)
    , has_engines_(has_engines)
    , max_interval_ms_(random_.between(600, 3000))
{
}

const std::vector<fault_driver::fault>& fault_driver::faults()
{
    using self = fault_driver;
    static const std::vector<fault> table{
        {"stop", 12, &self::stop_host},
        {"stutter", 6, &self::stutter_host},
        {"stop_all", 2, &self::stop_all_hosts},
        {"isolate", 2, &self::isolate_host},
        {"kill", 5, &self::kill_host},
        {"kill_all", 1, &self::kill_all_hosts},
        {"term", 4, &self::terminate_host},
        {"hup", 3, &self::reload_settings},
        {"config", 3, &self::change_configuration},
        {"target_proxy", 8, &self::disturb_targets},
        {"store_proxy", 6, &self::disturb_store},
        {"crash", 5, &self::crash_target},
        {"drain", 2, &self::drain_target},
        {"release", 2, &self::release}};
    return table;
}

// ========================================================================
// Schedule

void fault_driver::run(milliseconds duration)
{
    const std::int64_t end = fleet_.record.now_ms() + duration.count();
    while (fleet_.record.now_ms() < end)
    {
        if (fleet_.record.now_ms() >= next_fault_ms_)
        {
            inject_next();
            next_fault_ms_ =
                fleet_.record.now_ms() + random_.between(100, max_interval_ms_);
        }
        step();
    }
}

void fault_driver::recover(milliseconds duration)
{
    const std::int64_t end = fleet_.record.now_ms() + duration.count();
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        host->signal(SIGCONT);
    while (fleet_.record.now_ms() < end)
        step();
}

void fault_driver::step()
{
    while (!tasks_.empty() && tasks_.begin()->first <= fleet_.record.now_ms())
    {
        const std::function<void()> task = tasks_.begin()->second;
        tasks_.erase(tasks_.begin());
        task();
    }
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        host->watch();
    std::this_thread::sleep_for(step_interval);
}

void fault_driver::after(milliseconds delay, std::function<void()> task)
{
    tasks_.emplace(fleet_.record.now_ms() + delay.count(), std::move(task));
}

void fault_driver::inject_next()
{
    int sum = 0;
    for (const fault& candidate : faults())
        sum += faults_.has(candidate.name) ? candidate.weight : 0;
    if (sum == 0)
        return;
    int draw = random_.between(1, sum);
    for (const fault& candidate : faults())
    {
        draw -= faults_.has(candidate.name) ? candidate.weight : 0;
        if (draw > 0)
            continue;
        (this->*candidate.inject)();
        return;
    }
}

// ========================================================================
// Processes

soak_host& fault_driver::any_host()
{
    return *fleet_.hosts[static_cast<std::size_t>(
        random_.between(0, static_cast<int>(fleet_.hosts.size()) - 1))];
}

void fault_driver::stop_host()
{
    soak_host& host = any_host();
    host.signal(SIGSTOP);
    after(random_.between(milliseconds(100), milliseconds(4000)),
          [&host] { host.signal(SIGCONT); });
}

void fault_driver::stutter_host()
{
    soak_host& host = any_host();
    milliseconds start{0};
    for (int pause = 0; pause < 20; ++pause)
    {
        const milliseconds end =
            start + random_.between(milliseconds(10), milliseconds(120));
        after(start, [&host] { host.signal(SIGSTOP); });
        after(end, [&host] { host.signal(SIGCONT); });
        start = end + random_.between(milliseconds(10), milliseconds(60));
    }
}

void fault_driver::stop_all_hosts()
{
    // Perhaps all but one.
    const soak_host* const spared = random_.chance(0.5) ? &any_host() : nullptr;
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
    {
        if (host.get() == spared)
            continue;
        host->signal(SIGSTOP);
        after(random_.between(milliseconds(100), milliseconds(3000)),
              [&host] { host->signal(SIGCONT); });
    }
}

void fault_driver::isolate_host()
{
    // One host knows the list of targets from before a target of a release
    // joined, and the hosts that know it are killed.
    soak_host& host = any_host();
    host.store_proxy().silence_connections(true, true);
    host.store_proxy().block(true);
    after(milliseconds(5000), [&host] { host.store_proxy().block(false); });
    ++release_;
    fleet_.record.add(host.name() + " is isolated; release of " + version());
    after(milliseconds(200), [this, name = version()]
          { fleet_.targets.back()->start(name, false); });
    const milliseconds killed_at =
        random_.between(milliseconds(500), milliseconds(2500));
    for (const std::unique_ptr<soak_host>& other : fleet_.hosts)
    {
        if (other.get() == &host)
            continue;
        after(killed_at, [&other] { other->kill(); });
        after(killed_at +
                  random_.between(milliseconds(500), milliseconds(3000)),
              [&other] { other->start(); });
    }
}

void fault_driver::kill_host()
{
    soak_host& host = any_host();
    host.kill();
    after(random_.between(milliseconds(50), milliseconds(2000)),
          [&host] { host.start(); });
}

void fault_driver::kill_all_hosts()
{
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        host->kill();
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
        after(random_.between(milliseconds(100), milliseconds(800)),
              [&host] { host->start(); });
}

void fault_driver::terminate_host()
{
    soak_host& host = any_host();
    host.stop();
    start_when_ended(host);
}

void fault_driver::start_when_ended(soak_host& host)
{
    after(milliseconds(100),
          [this, &host]
          {
              if (host.is_running())
                  start_when_ended(host);
              else
                  host.start();
          });
}

void fault_driver::reload_settings()
{
    soak_host& host = any_host();
    if (random_.chance(0.7))
        host.change_grace(random_.between(2, 8));
    host.signal(SIGHUP);
}

// ========================================================================
// The platform

void fault_driver::change_configuration()
{
    configuration_version_ += random_.between(1, 3);
    const int percent = random_.between(60, 140);
    fleet_.record.add("configuration " +
                      std::to_string(configuration_version_) + ": " +
                      std::to_string(percent) + " % of the time limits");
    fleet_.store.put(
        "op", "config",
        configuration(configuration_version_, percent, has_engines_).dump());
}

void fault_driver::disturb_targets()
{
    if (fleet_.target_proxies.empty())
        return;
    const std::size_t index = static_cast<std::size_t>(
        random_.between(0, static_cast<int>(fleet_.target_proxies.size()) - 1));
    disturb(*fleet_.target_proxies[index],
            "target proxy " + std::to_string(index));
}

void fault_driver::disturb_store()
{
    const bool is_for_all = random_.chance(0.2);
    soak_host& chosen = any_host();
    for (const std::unique_ptr<soak_host>& host : fleet_.hosts)
    {
        if (is_for_all || host.get() == &chosen)
            disturb(host->store_proxy(), "store proxy of " + host->name());
    }
}

void fault_driver::disturb(tcp_proxy& proxy, const std::string& name)
{
    const milliseconds duration =
        random_.between(milliseconds(200), milliseconds(4000));
    const int kind = random_.between(0, 4);
    const char* const names[] = {"delays", "blocks", "resets", "goes silent",
                                 "loses responses"};
    fleet_.record.add(name + " " + names[kind] + " for " +
                      std::to_string(duration.count()) + " ms");
    if (kind == 0)
    {
        proxy.delay(random_.between(milliseconds(20), milliseconds(500)));
        after(duration, [&proxy] { proxy.delay(milliseconds(0)); });
    }
    else if (kind == 1)
    {
        // As a partition: open connections are silent, new ones too.
        proxy.silence_connections(true, true);
        proxy.block(true);
        after(duration, [&proxy] { proxy.block(false); });
    }
    else if (kind == 2)
        proxy.reset_connections();
    else
        proxy.silence_connections(kind == 3, true);
}

// ========================================================================
// Targets

soak_target& fault_driver::any_target()
{
    return *fleet_.targets[static_cast<std::size_t>(
        random_.between(0, static_cast<int>(fleet_.targets.size()) - 1))];
}

bool fault_driver::may_end(const soak_target& target)
{
    int running = 0;
    for (const std::unique_ptr<soak_target>& other : fleet_.targets)
        running +=
            other.get() != &target && other->is_running() &&
                    other->settings().service == target.settings().service
                ? 1
                : 0;
    return running > 0;
}

std::string fault_driver::version() const
{
    return "v" + std::to_string(release_);
}

void fault_driver::crash_target()
{
    soak_target& target = any_target();
    if (!target.is_running() || !may_end(target))
        return;
    target.crash(random_.chance(0.5));
    const bool keeps_id = random_.chance(0.3);
    const bool has_new_version =
        (!keeps_id || faults_.has("same_id_release")) && random_.chance(0.5);
    after(keeps_id ? random_.between(milliseconds(50), milliseconds(2000))
                   : random_.between(address_reuse, milliseconds(4000)),
          [this, &target, keeps_id, has_new_version]
          { target.start(has_new_version ? version() : "", keeps_id); });
}

void fault_driver::update(soak_target& target, const std::string& new_version)
{
    target.drain();
    after(drain_time + random_.between(milliseconds(100), milliseconds(1500)),
          [&target] { target.leave(); });
    after(drain_time + milliseconds(1600) + address_reuse,
          [&target, new_version] { target.start(new_version, false); });
}

void fault_driver::drain_target()
{
    soak_target& target = any_target();
    if (target.is_running() && may_end(target))
        update(target, version());
}

void fault_driver::release()
{
    ++release_;
    fleet_.record.add("release of " + version());
    milliseconds delay{0};
    const bool is_planned = random_.chance(0.5);
    const double share = random_.chance(0.5) ? 1.0 : 0.5;
    for (const std::unique_ptr<soak_target>& target : fleet_.targets)
    {
        if (!random_.chance(share))
            continue;
        soak_target& updated = *target;
        const bool keeps_id =
            faults_.has("same_id_release") && random_.chance(0.3);
        delay += random_.between(milliseconds(100), milliseconds(700));
        after(delay,
              [this, &updated, is_planned, keeps_id, name = version()]
              {
                  if (is_planned)
                  {
                      update(updated, name);
                      return;
                  }
                  updated.crash(random_.chance(0.5));
                  after(keeps_id ? milliseconds(200) : address_reuse,
                        [&updated, name, keeps_id]
                        { updated.start(name, keeps_id); });
              });
    }
}

} // namespace hibiscusferry::soak
