#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_KV_TRANSFER_SIMULATION_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_KV_TRANSFER_SIMULATION_HPP

#include "cache_trace.hpp"
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

/** @file
    Simulates in virtual time engines that batch prefill and decode in
    iterations, with and without KV transfer between them.
*/
namespace hibiscusferry::bench
{

struct kv_transfer_settings
{
    std::size_t prefill_engines = 0;
    std::size_t decode_engines = 0;
    std::size_t mixed_engines = 14;
    bool kv_transfer_allowed = false;
    double requests_per_second = 20;
    double prompt_tokens = 4000;
    double output_tokens = 150;
    double seconds = 60;
    std::uint64_t seed = 1;
};

struct kv_transfer_result
{
    /** Share of the requests that meet the latency objective: first token
        within 340 ms and mean token interval within 47 ms. */
    double objective_met_share = 0;
    double first_token_95_ms = 0;
    double token_interval_95_ms = 0;
    double kv_transfer_share = 0;
};

/** Simulates routers that send requests to such engines. */
class kv_transfer_simulation
{
public:
    explicit kv_transfer_simulation(const kv_transfer_settings& settings)
        : settings_(settings)
        , random_(settings.seed)
    {
        std::vector<target_address> targets;
        add_engines(targets, settings.prefill_engines, target_role::prefill);
        add_engines(targets, settings.decode_engines, target_role::decode);
        add_engines(targets, settings.mixed_engines, target_role::mixed);
        std::vector<std::string> ids;
        for (std::size_t index = 0; index < router_count; ++index)
            ids.push_back("router-" + std::to_string(index));
        target_table_settings table_settings;
        table_settings.target_concurrency = 10000;
        table_settings.reports_per_second = 10000;
        for (std::size_t index = 0; index < router_count; ++index)
        {
            selector_settings selector_config;
            selector_config.availability_zone = "zone-0";
            routers_.push_back({target_table(ids[index], table_settings),
                                target_selector(selector_config, index + 1)});
            routers_.back().table.set_targets(ids, targets, moment(0));
        }
    }

    kv_transfer_result run()
    {
        std::exponential_distribution<double> arrival_interval(
            settings_.requests_per_second);
        double next_arrival = arrival_interval(random_);
        double next_report = 0;
        for (double now = 0; now < settings_.seconds; now += tick_seconds)
        {
            if (next_report <= now)
            {
                report_loads(now);
                next_report += 1.0;
            }
            for (; next_arrival <= now;
                 next_arrival += arrival_interval(random_))
                send(now);
            for (std::size_t index = 0; index < engines_.size(); ++index)
            {
                if (engines_[index].busy_until <= now)
                    iterate(index, now);
            }
        }
        return summary();
    }

private:
    static constexpr std::size_t router_count = 8;
    static constexpr double tick_seconds = 0.001;
    static constexpr double chunk_tokens = 512;
    static constexpr double iteration_seconds = 0.015;
    static constexpr double stream_seconds = 0.0002;
    static constexpr double block_transfer_seconds = 0.012;

    struct request_state
    {
        std::size_t router = 0;
        std::string attempt;
        double arrival_s = 0;
        double remaining_prompt_tokens = 0;
        double remaining_output_tokens = 0;
        double first_token = 0;
        double last_token = 0;
        double tokens = 0;
        /** Index of the decode engine. */
        std::size_t decode_engine = 0;
        double transfer_seconds = 0;
        /** Time at which the KV cache has reached the decode engine. */
        double transfer_end_s = 0;
    };

    struct engine_state
    {
        target_role role = target_role::mixed;
        double busy_until = 0;
        std::deque<std::size_t> prefills;
        std::vector<std::size_t> streams;
    };

    struct router_state
    {
        target_table table;
        target_selector selector;
    };

    void add_engines(std::vector<target_address>& targets, std::size_t count,
                     target_role role)
    {
        for (std::size_t index = 0; index < count; ++index)
        {
            targets.push_back({std::to_string(engines_.size()), "zone-0",
                               "10.0.0.1", 1, false});
            engines_.emplace_back();
            engines_.back().role = role;
        }
    }

    void report_loads(double now)
    {
        for (router_state& router : routers_)
        {
            for (const std::string& id :
                 router.table.targets_due_for_poll(moment(now)))
            {
                const engine_state& engine = engines_[std::stoul(id)];
                load_report report;
                report.role = engine.role;
                double waiting = 0;
                for (const std::size_t number : engine.prefills)
                    waiting += requests_[number].remaining_prompt_tokens;
                report.waiting_prefill_tokens =
                    static_cast<std::uint64_t>(waiting);
                report.active_streams =
                    static_cast<std::uint32_t>(engine.streams.size());
                router.table.report(id, report, moment(now), moment(now));
            }
        }
    }

    void send(double now)
    {
        std::lognormal_distribution<double> size(-0.18, 0.6);
        request_state request;
        request.router = random_() % router_count;
        request.attempt = std::to_string(requests_.size());
        request.arrival_s = now;
        request.remaining_prompt_tokens =
            std::max(1.0, settings_.prompt_tokens * size(random_));
        request.remaining_output_tokens =
            std::max(2.0, settings_.output_tokens * size(random_));
        selection_request selection_input;
        selection_input.prefill_tokens = request.remaining_prompt_tokens;
        selection_input.decode_tokens = request.remaining_output_tokens;
        selection_input.kv_transfer_allowed = settings_.kv_transfer_allowed;
        router_state& router = routers_[request.router];
        const target_selection chosen =
            router.selector
                .choose(router.table, nullptr, selection_input, moment(now))
                .value();
        const std::size_t prefill_engine = std::stoul(chosen.target);
        request.decode_engine = chosen.decode_target.empty()
                                    ? prefill_engine
                                    : std::stoul(chosen.decode_target);
        request.transfer_seconds = chosen.kv_blocks * block_transfer_seconds;
        kv_transfers_ += request.decode_engine != prefill_engine ? 1 : 0;
        router.table.attempt_started(chosen.target, request.attempt,
                                     request.remaining_prompt_tokens,
                                     moment(now));
        engines_[prefill_engine].prefills.push_back(requests_.size());
        requests_.push_back(request);
    }

    /** Runs one iteration of an engine: it prefills a chunk of the first
        waiting prompt and generates a token for each stream. */
    void iterate(std::size_t index, double now)
    {
        engine_state& engine = engines_[index];
        if (engine.prefills.empty() && engine.streams.empty())
            return;
        double duration =
            iteration_seconds +
            stream_seconds * static_cast<double>(engine.streams.size());
        double chunk = 0;
        if (!engine.prefills.empty())
        {
            chunk = std::min(
                chunk_tokens,
                requests_[engine.prefills.front()].remaining_prompt_tokens);
            duration += chunk * prefill_seconds_per_token;
        }
        const double end = now + duration;
        engine.busy_until = end;
        decode(engine, index, end);
        if (chunk > 0)
            prefill(engine, index, chunk, end);
    }

    void decode(engine_state& engine, std::size_t index, double end)
    {
        std::vector<std::size_t> unfinished;
        for (const std::size_t number : engine.streams)
        {
            request_state& request = requests_[number];
            if (request.transfer_end_s <= end)
            {
                request.last_token = end;
                request.tokens += 1;
                request.remaining_output_tokens -= 1;
            }
            if (request.remaining_output_tokens > 0)
                unfinished.push_back(number);
            else
                finish(request, index, end);
        }
        engine.streams = std::move(unfinished);
    }

    void prefill(engine_state& engine, std::size_t index, double chunk,
                 double end)
    {
        const std::size_t number = engine.prefills.front();
        request_state& request = requests_[number];
        request.remaining_prompt_tokens -= chunk;
        if (request.remaining_prompt_tokens > 0)
            return;
        engine.prefills.pop_front();
        request.first_token = end;
        request.last_token = end;
        target_table& table = routers_[request.router].table;
        table.attempt_prefilled(std::to_string(index), request.attempt,
                                moment(end));
        if (request.decode_engine != index)
        {
            table.attempt_ended(std::to_string(index), request.attempt,
                                moment(end));
            table.attempt_started(std::to_string(request.decode_engine),
                                  request.attempt, 0, moment(end));
        }
        request.transfer_end_s =
            end +
            (request.decode_engine == index ? 0 : request.transfer_seconds);
        engines_[request.decode_engine].streams.push_back(number);
    }

    void finish(const request_state& request, std::size_t index, double end)
    {
        routers_[request.router].table.attempt_ended(
            std::to_string(index), request.attempt, moment(end));
        if (request.arrival_s < settings_.seconds / 4)
            return;
        first_tokens_.push_back((request.first_token - request.arrival_s) *
                                1000);
        token_intervals_.push_back((request.last_token - request.first_token) *
                                   1000 / std::max(1.0, request.tokens));
    }

    kv_transfer_result summary()
    {
        kv_transfer_result result;
        std::size_t requests_meeting_objective = 0;
        for (std::size_t index = 0; index < token_intervals_.size(); ++index)
        {
            requests_meeting_objective +=
                first_tokens_[index] <= 340 && token_intervals_[index] <= 47
                    ? 1
                    : 0;
        }
        const double count = static_cast<double>(
            std::max<std::size_t>(1, token_intervals_.size()));
        result.objective_met_share =
            static_cast<double>(requests_meeting_objective) / count;
        result.kv_transfer_share =
            static_cast<double>(kv_transfers_) /
            static_cast<double>(std::max<std::size_t>(1, requests_.size()));
        std::sort(first_tokens_.begin(), first_tokens_.end());
        std::sort(token_intervals_.begin(), token_intervals_.end());
        if (!token_intervals_.empty())
        {
            result.first_token_95_ms =
                first_tokens_[first_tokens_.size() * 95 / 100];
            result.token_interval_95_ms =
                token_intervals_[token_intervals_.size() * 95 / 100];
        }
        return result;
    }

    kv_transfer_settings settings_;
    std::mt19937_64 random_;
    std::vector<engine_state> engines_;
    std::vector<router_state> routers_;
    std::vector<request_state> requests_;
    std::size_t kv_transfers_ = 0;
    std::vector<double> first_tokens_;
    std::vector<double> token_intervals_;
};

} // namespace hibiscusferry::bench

#endif
