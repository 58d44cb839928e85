#ifndef HIBISCUSFERRY_ADMISSION_LIMITS_RETRY_BUDGET_HPP
#define HIBISCUSFERRY_ADMISSION_LIMITS_RETRY_BUDGET_HPP

#include <cstdint>

namespace hibiscusferry
{

/** Limits a service's retries to a percentage of its first attempts, so that
    retries do not make an outage worse.

    Each first attempt adds a fraction of a retry to the budget, which holds
    at most `burst` retries. The budget does not grow with time, because there
    is nothing to retry without traffic. There is one budget per service and
    host, used from one thread.
*/
class retry_budget
{
public:
    static constexpr double burst = 10.0;

    /** @param percent  retries allowed per hundred first attempts */
    explicit retry_budget(std::uint32_t percent);

    void configure(std::uint32_t percent);

    /** Adds to the budget after the first attempt of a request. */
    void record_first_attempt();

    /** Takes one retry from the budget.
        @returns false if the budget is used up and the request must not be
                 retried */
    bool take_retry();

    /** Returns the number of retries in the budget. */
    double available() const;

private:
    double earned_per_attempt_;
    double available_;
};

} // namespace hibiscusferry

#endif
