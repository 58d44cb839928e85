#include "serving/estimation/engine_performance.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Generations from which the demand is derived at least. Their sizes vary by
    an order of magnitude. */
constexpr double min_generations_for_demand = 40;

} // namespace

const duration_model& engine_performance::model(engine_step step) const
{
    return models_[static_cast<std::size_t>(step)];
}

void engine_performance::add(engine_step step, double tokens, double own_tokens,
                             std::chrono::duration<double, std::milli> duration,
                             double reliability, time_point now)
{
    models_[static_cast<std::size_t>(step)].add(tokens, own_tokens, duration,
                                                reliability, now);
}

void engine_performance::set_remote(const engine_observations& observations,
                                    time_point now)
{
    for (std::size_t step = 0; step < models_.size(); ++step)
        models_[step].set_remote(observations[step], now);
}

engine_observations engine_performance::local(time_point now) const
{
    engine_observations observations;
    for (std::size_t step = 0; step < models_.size(); ++step)
        observations[step] = models_[step].local(now);
    return observations;
}

engine_estimates engine_performance::estimates(time_point now) const
{
    return {model(engine_step::prefill).estimate(now),
            model(engine_step::transfer).estimate(now),
            model(engine_step::completion).estimate(now)};
}

std::optional<stage_demand> engine_performance::demand(time_point now) const
{
    const linear_duration prefill = model(engine_step::prefill).estimate(now);
    const step_observations prefills = model(engine_step::prefill).total(now);
    const step_observations transfers = model(engine_step::transfer).total(now);
    const step_observations decodes = model(engine_step::decode).total(now);
    const bool is_sufficient =
        prefill.is_known && prefills.exchanges >= min_generations_for_demand &&
        transfers.exchanges >= min_generations_for_demand &&
        decodes.exchanges >= min_generations_for_demand;
    if (!is_sufficient)
        return std::nullopt;
    // Refused and abandoned generations complete fewer steps than they begin,
    // so each step is scaled to one generation.
    return stage_demand{prefill.ms_per_token * prefills.own_tokens /
                            prefills.exchanges,
                        transfers.own_tokens / transfers.exchanges,
                        decodes.own_duration_ms / decodes.exchanges};
}

std::optional<double> engine_performance::busy_engines(unsigned slots,
                                                       time_point now) const
{
    const linear_duration prefill = model(engine_step::prefill).estimate(now);
    const step_observations prefills = model(engine_step::prefill).total(now);
    const step_observations streams = model(engine_step::completion).total(now);
    if (!prefill.is_known || prefills.exchanges < min_generations_for_demand)
        return std::nullopt;
    const std::chrono::duration<double, std::milli> period =
        duration_model::time_constant;
    return (prefill.ms_per_token * prefills.own_tokens +
            streams.own_duration_ms / std::max(slots, 1U)) /
           period.count();
}

} // namespace hibiscusferry
