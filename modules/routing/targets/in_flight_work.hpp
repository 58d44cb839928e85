#ifndef HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP

#include "routing/targets/target.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** This router's attempts in flight at one target, and what they make of the
    target's last load report.

    Attempts that were started after the report was measured are added to it;
    those that it counted and that have moved on or ended since are taken off.
    Linear in the attempts at one target, which are limited.
*/
class in_flight_work
{
public:
    void started(const std::string& attempt, double prefill_tokens,
                 time_point now);
    void prefilled(const std::string& attempt, time_point now);
    void ended(const std::string& attempt, time_point now);

    /** A report measured at `measured_at` was taken over. */
    void reported(time_point measured_at);

    /** What to add to the last report; negative parts take off. */
    const target_load& correction() const;

    /** Attempts that have not ended. */
    std::size_t size() const;

private:
    /** Ended attempts that a later report may still have counted. */
    static constexpr std::size_t greatest_ended = 64;

    struct attempt_state
    {
        std::string attempt;
        double prefill_tokens = 0;
        time_point started;
        std::optional<time_point> prefilled;
        std::optional<time_point> ended;
    };

    static target_load load_at(const attempt_state& state, time_point when);
    void forget_ended();
    void correct(time_point now);

    std::vector<attempt_state> attempts_;
    std::size_t running_ = 0;
    std::optional<time_point> measured_at_;
    target_load correction_;
};

} // namespace hibiscusferry

#endif
