#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_HAND_OVER_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROUTING_HAND_OVER_HPP

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
    Engines that batch prefill and decode in iterations, with and without
    hand-over of KV cache between them, in virtual time.
*/
namespace hibiscusferry::bench
{

struct hand_over_settings
{
    std::size_t prefill_engines = 0;
    std::size_t decode_engines = 0;
    std::size_t mixed_engines = 14;
    bool kv_transfer_allowed = false;
    double requests_per_second = 20;
    double prompt_tokens = 4000;
    double answer_tokens = 150;
    double seconds = 60;
    std::uint64_t seed = 1;
};

struct hand_over_result
{
    /** Requests with the first token within 340 ms and a mean time between
        tokens within 47 ms. */
    double in_time = 0;
    double first_token_95_ms = 0;
    double between_95_ms = 0;
    double handed_over = 0;
};

/** One run of routers before such engines. */
class hand_over_run
{
public:
    explicit hand_over_run(const hand_over_settings& settings)
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
            selector_settings picking;
            picking.availability_zone = "zone-0";
            routers_.push_back({target_table(ids[index], table_settings),
                                target_selector(picking, index + 1)});
            routers_.back().table.set_targets(ids, targets, moment(0));
        }
    }

    hand_over_result run()
    {
        std::exponential_distribution<double> pause(
            settings_.requests_per_second);
        double next_arrival = pause(random_);
        double next_report = 0;
        for (double now = 0; now < settings_.seconds; now += tick)
        {
            if (next_report <= now)
            {
                report_loads(now);
                next_report += 1.0;
            }
            for (; next_arrival <= now; next_arrival += pause(random_))
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
    static constexpr double tick = 0.001;
    static constexpr double chunk_tokens = 512;
    static constexpr double iteration_seconds = 0.015;
    static constexpr double stream_seconds = 0.0002;
    static constexpr double piece_seconds = 0.012;

    struct request_state
    {
        std::size_t router = 0;
        std::string attempt;
        double arrived = 0;
        double prompt_left = 0;
        double answer_left = 0;
        double first_token = 0;
        double last_token = 0;
        double tokens = 0;
        /** The engine that decodes. */
        std::size_t decoder = 0;
        double transfer_seconds = 0;
        /** When its KV cache is at the decoder. */
        double ready = 0;
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
        target_selector picker;
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
                for (const std::size_t one : engine.prefills)
                    waiting += requests_[one].prompt_left;
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
        request.arrived = now;
        request.prompt_left =
            std::max(1.0, settings_.prompt_tokens * size(random_));
        request.answer_left =
            std::max(2.0, settings_.answer_tokens * size(random_));
        selection_request wanted;
        wanted.prefill_tokens = request.prompt_left;
        wanted.decode_tokens = request.answer_left;
        wanted.kv_transfer_allowed = settings_.kv_transfer_allowed;
        router_state& router = routers_[request.router];
        const target_selection chosen =
            router.picker.choose(router.table, nullptr, wanted, moment(now))
                .value();
        const std::size_t first = std::stoul(chosen.target);
        request.decoder = chosen.decode_target.empty()
                              ? first
                              : std::stoul(chosen.decode_target);
        request.transfer_seconds = chosen.kv_blocks * piece_seconds;
        handed_over_ += request.decoder != first ? 1 : 0;
        router.table.attempt_started(chosen.target, request.attempt,
                                     request.prompt_left, moment(now));
        engines_[first].prefills.push_back(requests_.size());
        requests_.push_back(request);
    }

    /** One iteration: a chunk of the first prefill, a token of each stream. */
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
            chunk = std::min(chunk_tokens,
                             requests_[engine.prefills.front()].prompt_left);
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
        std::vector<std::size_t> left;
        for (const std::size_t one : engine.streams)
        {
            request_state& request = requests_[one];
            if (request.ready <= end)
            {
                request.last_token = end;
                request.tokens += 1;
                request.answer_left -= 1;
            }
            if (request.answer_left > 0)
                left.push_back(one);
            else
                finish(request, index, end);
        }
        engine.streams = std::move(left);
    }

    void prefill(engine_state& engine, std::size_t index, double chunk,
                 double end)
    {
        const std::size_t number = engine.prefills.front();
        request_state& request = requests_[number];
        request.prompt_left -= chunk;
        if (request.prompt_left > 0)
            return;
        engine.prefills.pop_front();
        request.first_token = end;
        request.last_token = end;
        target_table& table = routers_[request.router].table;
        table.attempt_prefilled(std::to_string(index), request.attempt,
                                moment(end));
        if (request.decoder != index)
        {
            table.attempt_ended(std::to_string(index), request.attempt,
                                moment(end));
            table.attempt_started(std::to_string(request.decoder),
                                  request.attempt, 0, moment(end));
        }
        request.ready =
            end + (request.decoder == index ? 0 : request.transfer_seconds);
        engines_[request.decoder].streams.push_back(number);
    }

    void finish(const request_state& request, std::size_t index, double end)
    {
        routers_[request.router].table.attempt_ended(
            std::to_string(index), request.attempt, moment(end));
        if (request.arrived < settings_.seconds / 4)
            return;
        first_tokens_.push_back((request.first_token - request.arrived) * 1000);
        between_.push_back((request.last_token - request.first_token) * 1000 /
                           std::max(1.0, request.tokens));
    }

    hand_over_result summary()
    {
        hand_over_result result;
        std::size_t in_time = 0;
        for (std::size_t index = 0; index < between_.size(); ++index)
        {
            in_time +=
                first_tokens_[index] <= 340 && between_[index] <= 47 ? 1 : 0;
        }
        const double count =
            static_cast<double>(std::max<std::size_t>(1, between_.size()));
        result.in_time = static_cast<double>(in_time) / count;
        result.handed_over =
            static_cast<double>(handed_over_) /
            static_cast<double>(std::max<std::size_t>(1, requests_.size()));
        std::sort(first_tokens_.begin(), first_tokens_.end());
        std::sort(between_.begin(), between_.end());
        if (!between_.empty())
        {
            result.first_token_95_ms =
                first_tokens_[first_tokens_.size() * 95 / 100];
            result.between_95_ms = between_[between_.size() * 95 / 100];
        }
        return result;
    }

    hand_over_settings settings_;
    std::mt19937_64 random_;
    std::vector<engine_state> engines_;
    std::vector<router_state> routers_;
    std::vector<request_state> requests_;
    std::size_t handed_over_ = 0;
    std::vector<double> first_tokens_;
    std::vector<double> between_;
};

} // namespace hibiscusferry::bench

#endif
