#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_STOP_SCHEDULE_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_STOP_SCHEDULE_HPP

#include <chrono>

namespace hibiscusferry
{

/** The steps of a planned stop, as times after its start.

    With a long grace period they follow from the time in which the load
    balancer notices that the host is not ready. A short one is divided, so that
    requests are refused well before the process ends.
*/
class stop_schedule
{
public:
    /** @param grace_period  time between the stop signal and the forced end of
                             the process */
    static stop_schedule divide(std::chrono::milliseconds grace_period);

    /** When connections are closed after their current response, and requests
        that may last until the end are refused. */
    std::chrono::milliseconds refuse_after() const;

    /** When idle connections are closed. */
    std::chrono::milliseconds close_idle_after() const;

    /** When the requests in flight are cut off. */
    std::chrono::milliseconds end_after() const;

    /** The latest deadline of a request that is served to its end; leaves the
        time for writing the response. */
    std::chrono::milliseconds last_deadline() const;

private:
    stop_schedule() = default;

    std::chrono::milliseconds refuse_after_{0};
    std::chrono::milliseconds close_idle_after_{0};
    std::chrono::milliseconds end_after_{0};
    std::chrono::milliseconds last_deadline_{0};
};

} // namespace hibiscusferry

#endif
