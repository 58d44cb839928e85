#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_SLOWNESS_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_SLOWNESS_HPP

#include "foundation/foundation.hpp"
#include <array>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>

namespace hibiscusferry
{

/** Learns how fast the slowness of the targets of one service changes.

    Each pair of successive readings of a target shows how much of the earlier
    deviation from the target's mean was left after the time between them. An
    exponential decay is fitted to the correlations at all intervals. One host
    reads a given target rarely, so the targets of a service share one model.
*/
class slowness_variation
{
public:
    /** Records two successive readings of one target.
        @param earlier, later  their differences from the target's mean */
    void add_pair(double earlier, double later,
                  std::chrono::nanoseconds interval);

    /** Records a reading for the mean of all targets.
        @param weight  how independent it is of the target's previous one, from
                       0 to 1 */
    void add_reading(double slowness, double weight);

    /** The mean of the readings of all targets; none without readings. */
    std::optional<double> mean() const;

    /** The part of a deviation from the mean that is left after some time;
        0 until a deviation was observed. */
    double remaining_part(std::chrono::nanoseconds age) const;

    /** The time constant of the decay; 0 until a deviation was observed. */
    std::chrono::duration<double> time_constant() const;

private:
    /** Sums over the pairs of readings whose intervals are between two powers
        of two milliseconds. */
    struct interval_sums
    {
        double products = 0;
        double squares = 0;
        double weighted_intervals = 0;
    };

    void fit();

    std::array<interval_sums, 20> intervals_;
    std::chrono::duration<double> time_constant_{0};
    double mean_ = 0;
    double weight_ = 0;
};

/** How long work takes at a target at this moment, as a multiple of the usual
    time.

    Designed for targets that report their slowness with each response while it
    changes many times a second, and for hosts that see a given target a few
    times a second or less. A reading counts as far as its age allows; beyond
    that, the mean of the target's readings counts.
*/
class target_slowness
{
public:
    /** @param variation  shared by the targets of a service */
    explicit target_slowness(std::shared_ptr<slowness_variation> variation =
                                 std::make_shared<slowness_variation>());

    /** Records a reading, as a multiple of the usual time. */
    void add(double reading, time_point now);

    /** Whether the target has reported its slowness. */
    bool is_known() const;

    /** The expected slowness now; 1 if the target has not reported it. */
    double expected(time_point now) const;

private:
    double mean() const;

    std::shared_ptr<slowness_variation> variation_;
    double mean_ = 0;
    double weight_ = 0;
    double last_reading_ = 0;
    time_point last_reading_at_{};
};

} // namespace hibiscusferry

#endif
