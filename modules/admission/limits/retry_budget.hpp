#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_RETRY_BUDGET_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_RETRY_BUDGET_HPP

#include <cstdint>

namespace hibiscusferry
{

/** Limits a service's retries to a percentage of its first attempts, so that
    an outage is not made worse by them.

    Each first attempt earns a fraction of a retry; at most `burst` are kept.
    There is no earning by time: without traffic there is nothing to retry.
    One per service and host, used from one thread.
*/
class retry_budget
{
public:
    static constexpr double burst = 10.0;

    /** @param percent  retries for each hundred first attempts */
    explicit retry_budget(std::uint32_t percent);

    void configure(std::uint32_t percent);

    /** A request was sent for the first time. */
    void record_first_attempt();

    /** Takes one retry from the budget.
        @returns false when there is none left: the request must not be sent
                 again */
    bool take_retry();

    /** Retries that can be taken now. */
    double available() const;

private:
    double earned_per_attempt_;
    double available_;
};

} // namespace hibiscusferry

#endif
