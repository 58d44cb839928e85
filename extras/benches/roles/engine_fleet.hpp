#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_ENGINE_FLEET_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_ENGINE_FLEET_HPP

#include "trace.hpp"
#include <functional>
#include <queue>
#include <string>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** How requests are spread over the engines that can take them. */
enum class spreading
{
    least_load,
    round_robin
};

/** What became of the requests so far. */
struct fleet_counts
{
    std::uint64_t offered = 0;
    std::uint64_t good = 0;
    std::uint64_t role_changes = 0;
    std::uint64_t max_unavailable = 0;
};

/** The engines of one pool as a queue model.

    A request needs its prefill on a prefill or mixed engine so that its first
    token is in time, and a stream on a decode or mixed engine; otherwise it
    is refused at once. Prefill is first come first served. A decode engine
    holds a fixed number of streams at the promised pace. A mixed engine
    divides its time between both and gets less done. The router knows the
    queues exactly, for every policy alike.
*/
class engine_fleet
{
public:
    enum class condition
    {
        serving,
        draining, ///< takes nothing new and ends what it has
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
        /** Recent part of a mixed engine's time that went into prefill. */
        double prefill_use = 0;
        double prefill_use_s = 0;
        std::priority_queue<stream, std::vector<stream>, std::greater<stream>>
            streams;
    };

    /** Told of a change's end: engine and whether it took effect. */
    using change_handler = std::function<void(engine&, bool)>;

    engine_fleet(const scenario& of, const role_split& split, spreading spread,
                 std::uint64_t seed)
        : scenario_(of)
        , spread_(spread)
        , random_(seed * 31 + 5)
        , routers_(static_cast<std::size_t>(of.routers))
    {
        for (int number = 0; number < of.engines; ++number)
        {
            engine made;
            made.name = "engine-" + std::string(number < 10 ? "0" : "") +
                        std::to_string(number);
            made.zone =
                "zone-" + std::to_string(number % of.availability_zones);
            made.role = number < split.prefill ? engine_role::prefill
                        : number < split.prefill + split.decode
                            ? engine_role::decode
                            : engine_role::mixed;
            engines_.push_back(made);
        }
    }

    /** Moves streams and changes on to `now`. */
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
        for (engine& each : engines_)
        {
            while (!each.streams.empty() && each.streams.top().end_s <= now)
                end_stream(each);
            advance_change(each, on_change_end);
        }
    }

    void offer(const traced_request& request)
    {
        const std::size_t router = next_router_++ % routers_.size();
        router_load_report& seen = routers_[router];
        ++seen.offered_requests;
        seen.offered_prefill_tokens +=
            static_cast<std::uint64_t>(request.prompt_tokens);
        ++counts_.offered;

        double first_token = 0;
        engine* const prefill = choose_prefill(request, first_token);
        engine* const decode = prefill == nullptr ? nullptr : choose_decode();
        if (decode == nullptr)
        {
            ++seen.refused_requests;
            return;
        }
        prefill->prefill_free_s = first_token;
        if (prefill->role == engine_role::mixed)
            prefill->prefill_use =
                prefill_use_of(*prefill) +
                detail::prefill_seconds(scenario_, request.prompt_tokens) /
                    use_memory_s;
        prefill->prefill_use_s = request.at_s;
        decode->streams.push(
            {first_token + request.output_tokens * scenario_.token_interval_s,
             static_cast<int>(router)});
        active_[router] += 1;
        ++counts_.good;
    }

    /** Begins a change as the authority would.
        @returns false when it is refused */
    bool begin_change(const std::string& name, engine_role to)
    {
        engine* const found = find(name);
        if (found == nullptr || found->state != condition::serving ||
            found->role == to ||
            away() >= static_cast<int>(scenario_.rules.max_unavailable))
            return false;
        found->state = condition::draining;
        found->next_role = to;
        ++counts_.role_changes;
        counts_.max_unavailable = std::max<std::uint64_t>(
            counts_.max_unavailable, static_cast<std::uint64_t>(away()));
        return true;
    }

    /** An engine crashes: its streams fail. */
    void lose(engine& each)
    {
        each.state = condition::lost;
        while (!each.streams.empty())
        {
            --counts_.good;
            end_stream(each);
        }
    }

    int away() const
    {
        return static_cast<int>(
            std::count_if(engines_.begin(), engines_.end(),
                          [](const engine& each)
                          {
                              return each.state == condition::draining ||
                                     each.state == condition::changing;
                          }));
    }

    std::vector<engine>& engines()
    {
        return engines_;
    }

    engine* find(const std::string& name)
    {
        for (engine& each : engines_)
        {
            if (each.name == name)
                return &each;
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
    /** Over how long a mixed engine's prefill use is averaged. */
    static constexpr double use_memory_s = 2.0;

    void end_stream(engine& each)
    {
        const std::size_t router =
            static_cast<std::size_t>(each.streams.top().router);
        each.streams.pop();
        active_[router] -= 1;
        ++routers_[router].finished_requests;
    }

    void advance_change(engine& each, const change_handler& on_change_end)
    {
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        if (each.state == condition::draining && each.streams.empty() &&
            each.prefill_free_s <= now_)
        {
            const double duration =
                std::chrono::duration<double>(scenario_.rules.change_duration)
                    .count();
            each.state = condition::changing;
            each.changed_s = now_ + duration * (0.9 + 0.2 * unit(random_));
        }
        else if (each.state == condition::changing && now_ >= each.changed_s)
        {
            const bool done = unit(random_) >= scenario_.change_failure_part;
            if (done)
                each.role = each.next_role;
            each.state = condition::serving;
            on_change_end(each, done);
        }
    }

    double prefill_use_of(const engine& each) const
    {
        return each.prefill_use *
               std::exp((each.prefill_use_s - now_) / use_memory_s);
    }

    double first_token_at(const engine& each,
                          const traced_request& request) const
    {
        double rate = scenario_.prefill_tokens_per_second;
        if (each.role == engine_role::mixed)
            rate *=
                std::max(0.02, scenario_.mixed_efficiency -
                                   static_cast<double>(each.streams.size()) /
                                       scenario_.decode_streams);
        return std::max(each.prefill_free_s, request.at_s) +
               request.prompt_tokens / rate;
    }

    double stream_limit(const engine& each) const
    {
        if (each.role == engine_role::decode)
            return scenario_.decode_streams;
        return scenario_.decode_streams *
               (scenario_.mixed_efficiency - prefill_use_of(each));
    }

    engine* choose_prefill(const traced_request& request, double& first_token)
    {
        const double limit = request.at_s + scenario_.first_token_s;
        engine* chosen = nullptr;
        for (std::size_t step = 0; step < engines_.size(); ++step)
        {
            engine& each = engines_[(prefill_turn_ + step) % engines_.size()];
            if (each.state != condition::serving ||
                each.role == engine_role::decode)
                continue;
            const double at = first_token_at(each, request);
            if (at > limit)
                continue;
            if (chosen == nullptr || at < first_token)
            {
                chosen = &each;
                first_token = at;
            }
            if (spread_ == spreading::round_robin)
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
            engine& each = engines_[(decode_turn_ + step) % engines_.size()];
            if (each.state != condition::serving ||
                each.role == engine_role::prefill)
                continue;
            const double limit = stream_limit(each);
            const double load = static_cast<double>(each.streams.size() + 1) /
                                std::max(limit, 0.001);
            if (load > 1.0)
                continue;
            if (chosen == nullptr || load < chosen_load)
            {
                chosen = &each;
                chosen_load = load;
            }
            if (spread_ == spreading::round_robin)
                break;
        }
        advance_turn(decode_turn_, chosen);
        return chosen;
    }

    void advance_turn(std::size_t& turn, const engine* chosen) const
    {
        if (spread_ == spreading::round_robin && chosen != nullptr)
            turn = static_cast<std::size_t>(chosen - engines_.data()) + 1;
    }

    const scenario& scenario_;
    spreading spread_;
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
