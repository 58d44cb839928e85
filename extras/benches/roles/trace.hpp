#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_TRACE_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_TRACE_HPP

#include "scenario.hpp"
#include <algorithm>
#include <cmath>
#include <random>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** One request of a trace. */
struct traced_request
{
    double at_s = 0;
    double prompt_tokens = 0;
    double output_tokens = 0;
    bool is_document = false;
};

/** All requests of one scenario and seed, ordered by arrival time. */
struct request_trace
{
    std::vector<traced_request> requests;
    double mean_engine_seconds = 0;
};

/** The prefill share of a scenario over time, for one seed. */
class mix_signal
{
public:
    mix_signal(const scenario& config, std::mt19937_64& random)
        : scenario_(config)
    {
        std::uniform_real_distribution<double> unit(0.0, 1.0);
        for (std::size_t part = 0; part < config.parts.size(); ++part)
        {
            phases_.push_back(unit(random));
            jitters_.push_back((unit(random) - 0.5) * 0.1 * config.duration_s);
        }
    }

    double share_at(double now) const
    {
        double share = scenario_.share;
        for (std::size_t part = 0; part < scenario_.parts.size(); ++part)
            share += part_at(part, now);
        return share;
    }

private:
    double part_at(std::size_t index, double now) const
    {
        const share_part& part = scenario_.parts[index];
        const double from = part.from_s + jitters_[index];
        if (part.kind == "step")
        {
            const bool active =
                now >= from &&
                (part.to_s <= 0 || now < part.to_s + jitters_[index]);
            return active ? part.amplitude : 0.0;
        }
        if (part.kind == "drift")
        {
            const double progress =
                (now - part.from_s) / std::max(part.to_s - part.from_s, 1.0);
            return part.amplitude * std::clamp(progress, 0.0, 1.0);
        }
        const double turns = now / part.period_s + phases_[index];
        const double phase = turns - std::floor(turns);
        if (part.kind == "square")
            return phase < 0.5 ? part.amplitude : -part.amplitude;
        return part.amplitude * std::sin(2 * M_PI * phase);
    }

    const scenario& scenario_;
    std::vector<double> phases_;
    std::vector<double> jitters_;
};

namespace detail
{

inline double prefill_seconds(const scenario& config, double prompt_tokens)
{
    return prompt_tokens / config.prefill_tokens_per_second;
}

inline double decode_seconds(const scenario& config, double output_tokens)
{
    return output_tokens * config.token_interval_s / config.decode_streams;
}

inline double work_of(const scenario& config, const request_shape& shape)
{
    return prefill_seconds(config, shape.prompt_tokens) +
           decode_seconds(config, shape.output_tokens);
}

inline double share_of(const scenario& config, const request_shape& shape)
{
    return prefill_seconds(config, shape.prompt_tokens) /
           work_of(config, shape);
}

} // namespace detail

/** Samples the requests of a scenario for one seed. */
inline request_trace make_trace(const scenario& config, std::uint64_t seed)
{
    constexpr double tick_s = 0.1;
    std::mt19937_64 random(seed * 7919 + 17);
    const mix_signal signal(config, random);
    std::normal_distribution<double> normal(0.0, 1.0);
    std::gamma_distribution<double> shape(4.0, 0.25);

    const double document_share = detail::share_of(config, config.document);
    const double query_share = detail::share_of(config, config.query);
    request_trace trace;
    double load_noise = 0;
    double share_noise = 0;
    double work = 0;
    const int ticks = static_cast<int>(config.duration_s / tick_s);
    for (int tick = 0; tick < ticks; ++tick)
    {
        const double now = tick * tick_s;
        // Autocorrelated noise with a time constant of 20 seconds.
        const double decay = std::exp(-tick_s / 20.0);
        const double innovation = config.noise * std::sqrt(1.0 - decay * decay);
        load_noise = decay * load_noise + innovation * normal(random);
        share_noise = decay * share_noise + innovation * normal(random);

        const double share =
            std::clamp(signal.share_at(now) + share_noise, query_share + 0.01,
                       document_share - 0.01);
        const double offered =
            config.load * config.engines * std::max(0.1, 1.0 + load_noise);
        const double document_part =
            (share - query_share) / (document_share - query_share);
        for (const bool is_document : {true, false})
        {
            const request_shape& mean =
                is_document ? config.document : config.query;
            const double part =
                is_document ? document_part : 1.0 - document_part;
            std::poisson_distribution<int> arrivals(
                tick_s * offered * part / detail::work_of(config, mean));
            for (int remaining = arrivals(random); remaining > 0; --remaining)
            {
                traced_request request;
                request.at_s =
                    now + tick_s * std::generate_canonical<double, 32>(random);
                request.prompt_tokens = std::max(
                    16.0, mean.prompt_tokens * std::min(shape(random), 2.2));
                request.output_tokens =
                    std::max(2.0, mean.output_tokens * shape(random));
                request.is_document = is_document;
                work += detail::work_of(
                    config, {request.prompt_tokens, request.output_tokens});
                trace.requests.push_back(request);
            }
        }
    }
    std::sort(trace.requests.begin(), trace.requests.end(),
              [](const traced_request& left, const traced_request& right)
              { return left.at_s < right.at_s; });
    trace.mean_engine_seconds =
        work /
        static_cast<double>(std::max<std::size_t>(trace.requests.size(), 1));
    return trace;
}

} // namespace hibiscusferry::roles_bench

#endif
