#ifndef HIBISCUSFERRY_SERVING_ESTIMATION_ENGINE_PERFORMANCE_HPP
#define HIBISCUSFERRY_SERVING_ESTIMATION_ENGINE_PERFORMANCE_HPP

#include "serving/estimation/duration_model.hpp"
#include <array>
#include <optional>

namespace hibiscusferry
{

/** The expected durations of the steps of a generation. */
struct engine_estimates
{
    /** Speed at which a decode engine prefills, as a fraction of that of a
        prefill engine. */
    static constexpr double decode_prefill_fraction = 0.5;

    /** A prefill at a prefill engine, by the tokens to be computed. */
    linear_duration prefill;
    /** The start of a stream at a decode engine that fetches the KV cache, by
        the tokens fetched; those from another availability zone count twice. */
    linear_duration transfer;
    /** The time that a stream occupies its slot, by its output tokens. */
    linear_duration completion;

    /** Time to prefill tokens at a decode engine. */
    double direct_prefill_ms(double tokens) const
    {
        return prefill.milliseconds(tokens / decode_prefill_fraction);
    }
};

/** The mean work that a recent generation caused at the two stages, for those
    that were prefilled by one engine and decoded by another. */
struct stage_demand
{
    /** Processing time at prefill engines. */
    double prefill_ms = 0;
    /** Tokens whose KV cache decode engines fetched. */
    double fetched_tokens = 0;
    /** Time for which slots of decode engines were occupied. */
    double slot_ms = 0;
};

/** What is known of the speed of the engines of a service, learned from the
    exchanges of all hosts. Engines do not report it, and no setting states
    it. */
class engine_performance
{
public:
    /** Records a finished step; see duration_model::add(). */
    void add(engine_step step, double tokens, double own_tokens,
             std::chrono::duration<double, std::milli> duration,
             double reliability, time_point now);

    /** Sets the observations of the other hosts. */
    void set_remote(const engine_observations& observations, time_point now);

    /** The observations of this host, for the other hosts. */
    engine_observations local(time_point now) const;

    engine_estimates estimates(time_point now) const;

    /** The recent demand; none until enough exchanges were observed. */
    std::optional<stage_demand> demand(time_point now) const;

    /** The recent work of all hosts, in engines that it keeps busy: the
       prefills of prefill engines, and the slots that streams occupy. None
       until enough exchanges were observed. */
    std::optional<double> busy_engines(unsigned slots, time_point now) const;

private:
    const duration_model& model(engine_step step) const;

    std::array<duration_model, engine_step_count> models_;
};

} // namespace hibiscusferry

#endif
