#ifndef HIBISCUSFERRY_SERVING_ESTIMATION_DURATION_MODEL_HPP
#define HIBISCUSFERRY_SERVING_ESTIMATION_DURATION_MODEL_HPP

#include "foundation/foundation.hpp"
#include "sharing/sharing.hpp"
#include <chrono>

namespace hibiscusferry
{

/** A duration that grows linearly with a number of tokens. */
struct linear_duration
{
    double offset_ms = 0;
    double ms_per_token = 0;
    /** Whether enough exchanges have been observed. Until then, the duration
        is 0 for any number of tokens. */
    bool is_known = false;

    double milliseconds(double tokens) const
    {
        return offset_ms + ms_per_token * tokens;
    }
};

/** Estimates how long one kind of step takes at the engines of a service, as a
    linear function of its tokens.

    Weighted least squares over recent exchanges. The weight of an exchange
    falls with the square of its expected duration, so that relative errors
    count alike for short and long steps. Exchanges that take much longer than
    most others count little: they hang, or wait in a queue that is not known.
    The sums of several hosts can be added,
    so that hosts learn from each other's exchanges.
*/
class duration_model
{
public:
    /** The sums decay with this time constant. Long enough for hundreds of
        exchanges, short enough to follow a change of the engines. */
    static constexpr std::chrono::duration<double> time_constant{8};

    /** Records a finished exchange.
        @param tokens        tokens processed until the end of the step,
                             including those of steps that were ahead of it
        @param own_tokens    tokens of the step itself
        @param reliability   from 0 to 1; less than 1 if the tokens ahead of the
                             step are not known exactly */
    void add(double tokens, double own_tokens,
             std::chrono::duration<double, std::milli> duration,
             double reliability, time_point now);

    /** Sets the sums of the other hosts. */
    void set_remote(const step_observations& observations, time_point now);

    /** The sums over the exchanges of this host. */
    step_observations local(time_point now) const;

    /** The sums over the exchanges of all hosts. */
    step_observations total(time_point now) const;

    linear_duration estimate(time_point now) const;

private:
    /** The median ratio of the observed to the expected duration. If most
        exchanges take longer than expected, the engines are slower and not just
        some queues longer. */
    double typical_ratio_ = 1;
    step_observations local_;
    time_point local_updated_at_{};
    step_observations remote_;
    time_point remote_updated_at_{};
};

} // namespace hibiscusferry

#endif
