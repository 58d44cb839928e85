#ifndef HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP
#define HIBISCUSFERRY_ROUTING_TARGETS_IN_FLIGHT_WORK_HPP

#include "routing/targets/target.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** This router's attempts in flight at one target, and what they make of the
    target's last load report.

    Attempts that were started after the report was measured are added to it;
    those that it counted and that have moved on since are taken off. Linear
    in the attempts in flight at one target, which are limited.
*/
class in_flight_work
{
public:
    void started(const std::string& attempt, double prefill_tokens,
                 time_point now);
    void prefilled(const std::string& attempt);
    void ended(const std::string& attempt);

    /** A report measured at `measured_at` was taken over. */
    void reported(time_point measured_at);

    /** What to add to the last report; negative parts take off. */
    const target_load& correction() const;

    std::size_t size() const;

private:
    struct attempt_state
    {
        std::string attempt;
        double prefill_tokens = 0;
        time_point started;
        /** Whether the last report had seen it as prefilling or streaming. */
        bool in_report = false;
        bool prefilled = false;
    };

    std::vector<attempt_state> attempts_;
    target_load correction_;
};

} // namespace hibiscusferry

#endif
