#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_CACHE_TRACE_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_CACHE_TRACE_HPP

#include "routing/routing.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <list>
#include <queue>
#include <random>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

/** @file
    Simulates in virtual time routers that send requests to engines with prefix
    caches, to compare methods of target selection on the same trace.
*/
namespace hibiscusferry::bench
{

/** The method by which a router selects a target. */
enum class selection_method
{
    two_choices, ///< the less loaded of two sampled targets
    least_load,  ///< the least loaded of all targets
    affinity,    ///< prefix affinity with bounded load
    cache_events ///< an engine reported to cache the prefix, else affinity
};

struct trace_settings
{
    std::size_t routers = 8;
    std::size_t engines = 14;
    std::size_t targets_per_router = 24;
    double requests_per_second = 100;
    double seconds = 60;
    std::size_t prefixes = 2000;
    /** Share of the requests that have the same, most frequent prefix. */
    double hot_share = 0;
    /** Capacity of the cache of an engine, in prefixes. */
    std::size_t cache_size = 60;
    /** Interval at which a router polls the load of each known target, in
        seconds. */
    double report_interval = 1;
    std::uint64_t seed = 1;
};

struct trace_result
{
    double hit_share = 0;
    /** Load reports polled by each router per second. */
    double reports_per_second = 0;
    /** Ratio of the work of the busiest engine to the mean. */
    double imbalance = 0;
    double mean_wait_ms = 0;
    double wait_95_ms = 0;
    std::size_t unassigned = 0;
};

constexpr double prefix_tokens = 4096;
constexpr double suffix_tokens = 400;
constexpr double prefill_seconds_per_token = 50e-6;
constexpr double decode_seconds = 4;
constexpr double report_lag_seconds = 0.2;
constexpr double event_lag_seconds = 2;
/** One out of this many cache events is lost. */
constexpr std::uint64_t event_loss = 5;

inline time_point moment(double seconds)
{
    return time_point(std::chrono::hours(1) +
                      std::chrono::duration_cast<boot_clock::duration>(
                          std::chrono::duration<double>(seconds)));
}

/** An engine that prefills one request after another and caches the most
    recently used prefixes. */
class cached_engine
{
public:
    explicit cached_engine(std::size_t cache_size)
        : cache_size_(cache_size)
    {
    }

    struct admission
    {
        bool hit = false;
        double prefill_end_s = 0;
        /** The prefix that was evicted, or 0 if there was none. */
        std::uint64_t evicted = 0;
    };

    admission admit(std::uint64_t prefix, double now)
    {
        admission admitted;
        const auto cached = by_prefix_.find(prefix);
        admitted.hit = cached != by_prefix_.end();
        if (admitted.hit)
            recent_prefixes_.erase(cached->second);
        recent_prefixes_.push_front(prefix);
        by_prefix_[prefix] = recent_prefixes_.begin();
        if (recent_prefixes_.size() > cache_size_)
        {
            admitted.evicted = recent_prefixes_.back();
            by_prefix_.erase(recent_prefixes_.back());
            recent_prefixes_.pop_back();
        }
        const double tokens =
            suffix_tokens + (admitted.hit ? 0 : prefix_tokens);
        const double begin = std::max(now, busy_until_s_);
        busy_until_s_ = begin + tokens * prefill_seconds_per_token;
        work_ += tokens;
        admitted.prefill_end_s = busy_until_s_;
        prefills_.push_back({busy_until_s_, tokens});
        streams_.push_back(busy_until_s_ + decode_seconds);
        return admitted;
    }

    load_report load(double now)
    {
        while (!prefills_.empty() && prefills_.front().first <= now)
            prefills_.pop_front();
        while (!streams_.empty() && streams_.front() <= now)
            streams_.pop_front();
        load_report report;
        double waiting = 0;
        for (const std::pair<double, double>& prefill : prefills_)
            waiting += prefill.second;
        report.waiting_prefill_tokens = static_cast<std::uint64_t>(waiting);
        report.active_streams = static_cast<std::uint32_t>(streams_.size());
        return report;
    }

    double work() const
    {
        return work_;
    }

private:
    std::size_t cache_size_;
    std::list<std::uint64_t> recent_prefixes_;
    std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator>
        by_prefix_;
    double busy_until_s_ = 0;
    double work_ = 0;
    std::deque<std::pair<double, double>> prefills_;
    std::deque<double> streams_;
};

/** Simulates one trace with one selection method. */
class cache_trace
{
public:
    cache_trace(const trace_settings& settings, selection_method method)
        : settings_(settings)
        , method_(method)
        , random_(settings.seed)
    {
        std::vector<std::string> ids;
        for (std::size_t index = 0; index < settings.routers; ++index)
            ids.push_back("router-" + std::to_string(index));
        std::vector<target_address> targets;
        for (std::size_t index = 0; index < settings.engines; ++index)
        {
            targets.push_back({std::to_string(index),
                               "zone-" + std::to_string(index % 3), "10.0.0.1",
                               1, false});
            engines_.emplace_back(settings.cache_size);
        }
        target_table_settings table_settings;
        table_settings.subset.targets_per_router = settings.targets_per_router;
        table_settings.target_concurrency = 10000;
        table_settings.reports_per_second = 10000;
        table_settings.report_interval = std::chrono::milliseconds(
            static_cast<std::int64_t>(settings.report_interval * 1000));
        for (std::size_t index = 0; index < settings.routers; ++index)
        {
            selector_settings selector_config;
            selector_config.availability_zone =
                "zone-" + std::to_string(index % 3);
            routers_.push_back({target_table(ids[index], table_settings),
                                target_selector(selector_config, index + 1)});
            // Spreads the polls of the routers over the report interval.
            routers_.back().table.set_targets(
                ids, targets,
                moment(std::fmod(static_cast<double>(index),
                                 settings.report_interval)));
        }
        init_popularity();
    }

    trace_result run()
    {
        std::exponential_distribution<double> arrival_interval(
            settings_.requests_per_second);
        std::uniform_int_distribution<std::size_t> router(0,
                                                          routers_.size() - 1);
        double next_report = 0;
        for (double now = arrival_interval(random_); now < settings_.seconds;
             now += arrival_interval(random_))
        {
            while (next_report <= now)
            {
                finish_until(next_report);
                report_loads(next_report);
                next_report += 1.0;
            }
            finish_until(now);
            send(router(random_), now);
        }
        return summary();
    }

private:
    struct router_state
    {
        target_table table;
        target_selector selector;
    };

    struct attempt_event
    {
        double time_s = 0;
        bool is_completion = false;
        std::size_t router = 0;
        std::string target;
        std::string attempt;

        bool operator<(const attempt_event& other) const
        {
            return time_s > other.time_s;
        }
    };

    struct cache_event
    {
        double arrival_s = 0;
        std::uint64_t prefix = 0;
        std::size_t engine = 0;
        bool stored = false;
    };

    /** Initialises the distribution of the prefixes, which follows Zipf's
        law with exponent 0.9. */
    void init_popularity()
    {
        std::vector<double> weights;
        for (std::size_t rank = 1; rank <= settings_.prefixes; ++rank)
            weights.push_back(1 / std::pow(static_cast<double>(rank), 0.9));
        popularity_ = std::discrete_distribution<std::size_t>(weights.begin(),
                                                              weights.end());
    }

    void report_loads(double now)
    {
        std::vector<load_report> reports;
        for (cached_engine& engine : engines_)
            reports.push_back(engine.load(now));
        for (router_state& router : routers_)
        {
            for (const std::string& id : router.table.targets_due_for_poll(
                     moment(now + report_lag_seconds)))
            {
                ++reports_;
                router.table.report(id, reports[std::stoul(id)], moment(now),
                                    moment(now + report_lag_seconds));
            }
        }
        while (!events_.empty() && events_.front().arrival_s <= now)
        {
            const cache_event& event = events_.front();
            std::vector<std::size_t>& caching_engines =
                caching_engines_[event.prefix];
            caching_engines.erase(std::remove(caching_engines.begin(),
                                              caching_engines.end(),
                                              event.engine),
                                  caching_engines.end());
            if (event.stored)
                caching_engines.push_back(event.engine);
            events_.pop_front();
        }
    }

    void finish_until(double now)
    {
        while (!attempt_events_.empty() && attempt_events_.top().time_s <= now)
        {
            const attempt_event event = attempt_events_.top();
            attempt_events_.pop();
            target_table& table = routers_[event.router].table;
            if (event.is_completion)
                table.attempt_ended(event.target, event.attempt,
                                    moment(event.time_s));
            else
                table.attempt_prefilled(event.target, event.attempt,
                                        moment(event.time_s));
        }
    }

    std::string choose(router_state& router, std::uint64_t prefix, double now)
    {
        selection_request request;
        request.prefill_tokens = prefix_tokens + suffix_tokens;
        request.kv_transfer_allowed = false;
        request.prefix = prefix;
        if (method_ == selection_method::two_choices)
            request.prefix = 0;
        if (method_ == selection_method::least_load)
            return least_loaded(router);
        if (method_ == selection_method::cache_events)
        {
            std::string engine_id = best_caching_engine(router, prefix);
            if (!engine_id.empty())
                return engine_id;
        }
        const result<target_selection> chosen =
            router.selector.choose(router.table, nullptr, request, moment(now));
        return chosen ? chosen.value().target : std::string();
    }

    static std::string least_loaded(const router_state& router)
    {
        const std::vector<target_entry>& targets = router.table.targets();
        return std::min_element(
                   targets.begin(), targets.end(),
                   [&router](const target_entry& left,
                             const target_entry& right)
                   { return wait_of(router, left) < wait_of(router, right); })
            ->address.id;
    }

    /** Finds the least loaded engine that is reported to cache the prefix and
        whose load is within the bound of prefix affinity.

        @returns its id, or an empty string if there is none
    */
    std::string best_caching_engine(router_state& router, std::uint64_t prefix)
    {
        double sum = 0;
        for (const target_entry& entry : router.table.targets())
            sum += wait_of(router, entry);
        const double bound =
            1.25 * sum / static_cast<double>(router.table.targets().size()) +
            (prefix_tokens + suffix_tokens) * prefill_seconds_per_token * 1e9;
        const target_entry* best = nullptr;
        for (const std::size_t engine : caching_engines_[prefix])
        {
            const target_entry* const entry =
                router.table.find(std::to_string(engine));
            if (entry != nullptr && wait_of(router, *entry) <= bound &&
                (best == nullptr ||
                 wait_of(router, *entry) < wait_of(router, *best)))
            {
                best = entry;
            }
        }
        return best == nullptr ? std::string() : best->address.id;
    }

    static double wait_of(const router_state& router, const target_entry& entry)
    {
        return static_cast<double>(
            router.selector.expected_wait(entry).count());
    }

    void send(std::size_t router_index, double now)
    {
        std::bernoulli_distribution is_hot(settings_.hot_share);
        const std::uint64_t prefix =
            is_hot(random_) ? 1 : popularity_(random_) + 1;
        router_state& router = routers_[router_index];
        const std::string target = choose(router, prefix, now);
        if (target.empty())
        {
            ++counts_.unassigned;
            return;
        }
        const std::size_t engine = std::stoul(target);
        const cached_engine::admission admitted =
            engines_[engine].admit(prefix, now);
        const std::string attempt = std::to_string(++attempts_);
        router.table.attempt_started(
            target, attempt, prefix_tokens + suffix_tokens, moment(now));
        attempt_events_.push(
            {admitted.prefill_end_s, false, router_index, target, attempt});
        attempt_events_.push({admitted.prefill_end_s + decode_seconds, true,
                              router_index, target, attempt});
        publish(engine, prefix, admitted, now);
        if (now < settings_.seconds / 3)
            return;
        hits_ += admitted.hit ? 1 : 0;
        waits_.push_back((admitted.prefill_end_s - now) * 1000);
    }

    void publish(std::size_t engine, std::uint64_t prefix,
                 const cached_engine::admission& admitted, double now)
    {
        if (!admitted.hit && random_() % event_loss != 0)
            events_.push_back({now + event_lag_seconds, prefix, engine, true});
        if (admitted.evicted != 0 && random_() % event_loss != 0)
        {
            events_.push_back(
                {now + event_lag_seconds, admitted.evicted, engine, false});
        }
    }

    trace_result summary()
    {
        trace_result result = counts_;
        const double count = static_cast<double>(waits_.size());
        result.reports_per_second =
            static_cast<double>(reports_) /
            (settings_.seconds * static_cast<double>(routers_.size()));
        result.hit_share = static_cast<double>(hits_) / count;
        double sum = 0;
        for (const double wait : waits_)
            sum += wait;
        result.mean_wait_ms = sum / count;
        std::sort(waits_.begin(), waits_.end());
        result.wait_95_ms = waits_[waits_.size() * 95 / 100];
        double max_work = 0;
        double total = 0;
        for (const cached_engine& engine : engines_)
        {
            max_work = std::max(max_work, engine.work());
            total += engine.work();
        }
        result.imbalance =
            max_work * static_cast<double>(engines_.size()) / total;
        return result;
    }

    trace_settings settings_;
    selection_method method_;
    std::mt19937_64 random_;
    std::discrete_distribution<std::size_t> popularity_;
    std::vector<cached_engine> engines_;
    std::vector<router_state> routers_;
    std::priority_queue<attempt_event> attempt_events_;
    std::deque<cache_event> events_;
    std::unordered_map<std::uint64_t, std::vector<std::size_t>>
        caching_engines_;
    std::uint64_t attempts_ = 0;
    std::size_t hits_ = 0;
    std::size_t reports_ = 0;
    std::vector<double> waits_;
    trace_result counts_;
};

} // namespace hibiscusferry::bench

#endif
