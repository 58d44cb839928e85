#ifndef HIBISCUSFERRY_SHARING_REPLICATION_PROPAGATION_SCHEDULE_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_PROPAGATION_SCHEDULE_HPP

#include <chrono>

namespace hibiscusferry
{

/** Percentages of the time in which a change has to reach every host. */
struct propagation_shares
{
    /** How long a read of a relay waits for a change, or the interval between
        its polls. */
    int relay_interval;
    /** The maximum age of the replica of a host that reads nothing itself. */
    int max_age;
    /** How long a response may take before another read is sent. */
    int response_delay;
};

/** Divides the time in which a change has to reach every host over the steps
    that lie between.

    The longest way is that of a host whose relay is lost: it notices the age of
    its replica, and reads the store itself. Two of its reads may remain without
    a response, because connections have become silent, before it is late. All
    of this fits in the time together, and leaves a part of it for the last read
    and for its processing.
*/
class propagation_schedule
{
public:
    /** For tables whose reads wait at the store until there is a change. */
    static constexpr propagation_shares watched_table{28, 46, 13};
    /** For tables that are polled, as they change all the time. */
    static constexpr propagation_shares polled_table{34, 50, 13};

    /** Divides a time. One that is shorter than any network allows for is
        treated as 200 ms. */
    static propagation_schedule divide(std::chrono::milliseconds time,
                                       const propagation_shares& shares);

    /** A schedule of given steps, which take the whole time together. */
    static propagation_schedule of(std::chrono::milliseconds relay_interval,
                                   std::chrono::milliseconds max_age,
                                   std::chrono::milliseconds response_delay);

    std::chrono::milliseconds relay_interval() const;
    std::chrono::milliseconds max_age() const;
    std::chrono::milliseconds response_delay() const;

    /** How long a read may wait at the store for a change.
        @param age  the age of the replica
        @returns zero if the replica should be confirmed at once */
    std::chrono::milliseconds max_wait(std::chrono::milliseconds age) const;

    /** The time from a change until the last of the reads that find it is sent,
        if two of them get no response. */
    std::chrono::milliseconds longest_delay() const;

    /** What is left of the time for the transfer and the processing of a change
        after longest_delay(). */
    std::chrono::milliseconds max_transfer_time() const;

private:
    propagation_schedule() = default;

    std::chrono::milliseconds time_{0};
    std::chrono::milliseconds relay_interval_{0};
    std::chrono::milliseconds max_age_{0};
    std::chrono::milliseconds response_delay_{0};
};

} // namespace hibiscusferry

#endif
