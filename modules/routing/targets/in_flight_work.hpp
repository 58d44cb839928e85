#ifndef HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP

#include "routing/targets/target.hpp"
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** This router's attempts in flight at one target, and the resulting correction
    of the target's last load report.

    Attempts that started after the report was measured are added to the
    reported load. Attempts that the report includes and that have since
    progressed or ended are subtracted. The cost is linear in the number of
    attempts at one target, which is limited.
*/
class in_flight_work
{
public:
    void started(const std::string& attempt, double prefill_tokens,
                 time_point now);
    void prefilled(const std::string& attempt, time_point now);
    void ended(const std::string& attempt, time_point now);

    /** A load report that was measured at `measured_at` was received. */
    void reported(time_point measured_at);

    /** The value to add to the last report; components may be negative. */
    const target_load& correction() const;

    /** The number of attempts that have not ended. */
    std::size_t size() const;

private:
    /** The maximum number of ended attempts kept because a later report may
        still include them. */
    static constexpr std::size_t max_ended_attempts = 64;

    struct attempt_state
    {
        std::string attempt;
        double prefill_tokens = 0;
        time_point started;
        std::optional<time_point> prefilled;
        std::optional<time_point> ended;
    };

    static target_load load_at(const attempt_state& state, time_point when);
    void remove_oldest_ended();
    void update_correction(time_point now);

    std::vector<attempt_state> attempts_;
    std::size_t running_ = 0;
    std::optional<time_point> measured_at_;
    target_load correction_;
};

} // namespace hibiscusferry

#endif
