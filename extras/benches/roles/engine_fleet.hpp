#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_ENGINE_FLEET_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_ENGINE_FLEET_HPP

#include "trace.hpp"
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** The way requests are distributed over the eligible engines. */
enum class balancing_policy
{
    least_load,
    round_robin
};

/** Counts of requests and role changes. */
struct fleet_counts
{
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t role_changes = 0;
    std::uint64_t max_unavailable = 0;
};

/** Models the engines of one pool as queues.

    A request needs a prefill or mixed engine that generates its first token
    within the latency objective, and a free stream on a decode or mixed
    engine; otherwise it is refused immediately. Prompts are processed in order
    of arrival. A decode engine serves a fixed number of streams at the token
    interval of the scenario. A mixed engine divides its time between prefill
    and decode, at a lower efficiency. The router knows the exact queues under
    every policy.
*/
class engine_fleet
{
public:
    enum class condition
    {
        serving,
        draining, ///< accepts no requests and finishes its streams
        changing,
        lost
    };

    struct stream
    {
        double end_s;
        int router;
        bool operator>(const stream& other) const
        {
            return end_s > other.end_s;
        }
    };

    struct engine
    {
        std::string name;
        std::string zone;
        engine_role role = engine_role::mixed;
        engine_role next_role = engine_role::mixed;
        condition state = condition::serving;
        double prefill_free_s = 0;
        double changed_s = 0;
        /** Share of the recent time of a mixed engine spent on prefill. */
        double prefill_utilisation = 0;
        double prefill_utilisation_updated_s = 0;
        std::priority_queue<stream, std::vector<stream>, std::greater<stream>>
            streams;
    };

    /** Called when a change ends, with the engine and whether it succeeded. */
    using change_handler = std::function<void(engine&, bool)>;

    engine_fleet(const scenario& config, const role_split& split,
                 balancing_policy balancing, std::uint64_t seed)
        : scenario_(config)
        , balancing_(balancing)
        , random_(seed * 31 + 5)
        , routers_(static_cast<std::size_t>(config.routers))
    {
        for (int number = 0; number < config.engines; ++number)
        {
            engine new_engine;
            new_engine.name = "engine-" + std::string(number < 10 ? "0" : "") +
                              std::to_string(number);
            new_engine.zone =
                "zone-" + std::to_string(number % config.availability_zones);
            new_engine.role = number < split.prefill ? engine_role::prefill
                              : number < split.prefill + split.decode
                                  ? engine_role::decode
                                  : engine_role::mixed;
            engines_.push_back(new_engine);
        }
    }

    /** Advances streams and role changes to the time `now`. */
    void advance(double now, const change_handler& on_change_end)
    {
        for (router_load_report& router : routers_)
        {
            active_tokens_[&router - routers_.data()] +=
                active_[&router - routers_.data()] * (now - now_) /
                scenario_.token_interval_s;
            router.decoded_tokens = static_cast<std::uint64_t>(
                active_tokens_[&router - routers_.data()]);
            router.uptime = std::chrono::milliseconds(
                static_cast<std::int64_t>(now * 1000));
        }
        now_ = now;
        for (engine& fleet_engine : engines_)
        {
            while (!fleet_engine.streams.empty() &&
                   fleet_engine.streams.top().end_s <= now)
                end_stream(fleet_engine);
            advance_change(fleet_engine, on_change_end);
        }
    }

    void offer(const traced_request& request)
    {
        const std::size_t router = next_router_++ % routers_.size();
        router_load_report& router_report = routers_[router];
        ++router_report.offered_requests;
        router_report.offered_prefill_tokens +=
            static_cast<std::uint64_t>(request.prompt_tokens);
        ++counts_.offered;

        double first_token = 0;
        engine* const prefill = choose_prefill(request, first_token);
        engine* const decode = prefill == nullptr ? nullptr : choose_decode();
        if (decode == nullptr)
        {
            ++router_report.refused_requests;
            return;
        }
        prefill->prefill_free_s = first_token;
        if (prefill->role == engine_role::mixed)
            prefill->prefill_utilisation =
                prefill_utilisation_of(*prefill) +
                detail::prefill_seconds(scenario_, request.prompt_tokens) /
                    utilisation_window_s;
        prefill->prefill_utilisation_updated_s = request.at_s;
        decode->streams.push(
            {first_token + request.output_tokens * scenario_.token_interval_s,
             static_cast<int>(router)});
        active_[router] += 1;
        ++counts_.good;
    }

    /** Begins a role change under the same rules as the authority.

        @returns false if the change is refused
    */
    bool begin_change(const std::string& name, engine_role to)
    {
        engine* const selected = find_engine(name);
        if (selected == nullptr || selected->state != condition::serving ||
            selected->role == to ||
            unavailable_count() >=
                static_cast<int>(scenario_.rules.max_unavailable))
            return false;
        selected->state = condition::draining;
        selected->next_role = to;
        ++counts_.role_changes;
        counts_.max_unavailable = std::max<std::uint64_t>(
            counts_.max_unavailable,
            static_cast<std::uint64_t>(unavailable_count()));
        return true;
    }

    /** Simulates a crash of an engine; its streams fail. */
    void crash(engine& fleet_engine)
    {
        fleet_engine.state = condition::lost;
        while (!fleet_engine.streams.empty())
        {
            --counts_.good;
            end_stream(fleet_engine);
        }
    }

    int unavailable_count() const
    {
        return static_cast<int>(std::count_if(
            engines_.begin(), engines_.end(),
            [](const engine& fleet_engine)
            {
                return fleet_engine.state == condition::draining ||
                       fleet_engine.state == condition::changing;
            }));
    }

    std::vector<engine>& engines()
    {
        return engines_;
    }

    engine* find_engine(const std::string& name)
    {
        for (engine& fleet_engine : engines_)
        {
            if (fleet_engine.name == name)
                return &fleet_engine;
        }
        return nullptr;
    }

    const std::vector<router_load_report>& routers() const
    {
        return routers_;
    }

    const fleet_counts& counts() const
    {
        return counts_;
    }

private:
    /** Time constant of the average of the prefill utilisation. */
    static constexpr double utilisation_window_s = 2.0;

    void end_stream(engine& fleet_engine)
    {
        const std::size_t router =
            static_cast<std::size_t>(fleet_engine.streams.top().router);
        fleet_engine.streams.pop();
        active_[router] -= 1;
        ++routers_[router].finished_requests;
    }

    void advance_change(engine& fleet_engine,
                        const change_handler& on_change_end)
    {
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        if (fleet_engine.state == condition::draining &&
            fleet_engine.streams.empty() && fleet_engine.prefill_free_s <= now_)
        {
            const double duration =
                std::chrono::duration<double>(scenario_.rules.change_duration)
                    .count();
            fleet_engine.state = condition::changing;
            fleet_engine.changed_s =
                now_ + duration * (0.9 + 0.2 * unit(random_));
        }
        else if (fleet_engine.state == condition::changing &&
                 now_ >= fleet_engine.changed_s)
        {
            const bool done = unit(random_) >= scenario_.change_failure_share;
            if (done)
                fleet_engine.role = fleet_engine.next_role;
            fleet_engine.state = condition::serving;
            on_change_end(fleet_engine, done);
        }
    }

    double prefill_utilisation_of(const engine& fleet_engine) const
    {
        return fleet_engine.prefill_utilisation *
               std::exp((fleet_engine.prefill_utilisation_updated_s - now_) /
                        utilisation_window_s);
    }

    double first_token_at(const engine& candidate,
                          const traced_request& request) const
    {
        double rate = scenario_.prefill_tokens_per_second;
        if (candidate.role == engine_role::mixed)
            rate *= std::max(0.02,
                             scenario_.mixed_efficiency -
                                 static_cast<double>(candidate.streams.size()) /
                                     scenario_.decode_streams);
        return std::max(candidate.prefill_free_s, request.at_s) +
               request.prompt_tokens / rate;
    }

    double stream_limit(const engine& candidate) const
    {
        if (candidate.role == engine_role::decode)
            return scenario_.decode_streams;
        return scenario_.decode_streams *
               (scenario_.mixed_efficiency - prefill_utilisation_of(candidate));
    }

    engine* choose_prefill(const traced_request& request, double& first_token)
    {
        const double limit = request.at_s + scenario_.first_token_s;
        engine* chosen = nullptr;
        for (std::size_t step = 0; step < engines_.size(); ++step)
        {
            engine& candidate =
                engines_[(prefill_turn_ + step) % engines_.size()];
            if (candidate.state != condition::serving ||
                candidate.role == engine_role::decode)
                continue;
            const double candidate_first_token =
                first_token_at(candidate, request);
            if (candidate_first_token > limit)
                continue;
            if (chosen == nullptr || candidate_first_token < first_token)
            {
                chosen = &candidate;
                first_token = candidate_first_token;
            }
            if (balancing_ == balancing_policy::round_robin)
                break;
        }
        advance_turn(prefill_turn_, chosen);
        return chosen;
    }

    engine* choose_decode()
    {
        engine* chosen = nullptr;
        double chosen_load = 0;
        for (std::size_t step = 0; step < engines_.size(); ++step)
        {
            engine& candidate =
                engines_[(decode_turn_ + step) % engines_.size()];
            if (candidate.state != condition::serving ||
                candidate.role == engine_role::prefill)
                continue;
            const double limit = stream_limit(candidate);
            const double load =
                static_cast<double>(candidate.streams.size() + 1) /
                std::max(limit, 0.001);
            if (load > 1.0)
                continue;
            if (chosen == nullptr || load < chosen_load)
            {
                chosen = &candidate;
                chosen_load = load;
            }
            if (balancing_ == balancing_policy::round_robin)
                break;
        }
        advance_turn(decode_turn_, chosen);
        return chosen;
    }

    void advance_turn(std::size_t& turn, const engine* chosen) const
    {
        if (balancing_ == balancing_policy::round_robin && chosen != nullptr)
            turn = static_cast<std::size_t>(chosen - engines_.data()) + 1;
    }

    const scenario& scenario_;
    balancing_policy balancing_;
    std::mt19937_64 random_;
    std::vector<engine> engines_;
    std::vector<router_load_report> routers_;
    std::vector<double> active_ =
        std::vector<double>(static_cast<std::size_t>(scenario_.routers));
    std::vector<double> active_tokens_ =
        std::vector<double>(static_cast<std::size_t>(scenario_.routers));
    std::size_t next_router_ = 0;
    std::size_t prefill_turn_ = 0;
    std::size_t decode_turn_ = 0;
    double now_ = 0;
    fleet_counts counts_;
};

} // namespace hibiscusferry::roles_bench

#endif
