#ifndef HIBISCUSFERRY_FOUNDATION_TIME_HYBRID_LOGICAL_CLOCK_HPP
#define HIBISCUSFERRY_FOUNDATION_TIME_HYBRID_LOGICAL_CLOCK_HPP

#include "foundation/result/result.hpp"
#include "foundation/time/clock.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** A timestamp of a hybrid logical clock.

    Orders the events of all processes consistently with the messages between
    them. Timestamps compare by wall-clock time, then by counter.
*/
struct hybrid_timestamp
{
    std::int64_t wall_microseconds = 0;
    std::uint32_t counter = 0;

    /** Returns "WALL_MICROSECONDS.COUNTER", the form used in headers and
        messages. */
    std::string text() const;

    /** Parses the output of text().

        @returns std::errc::invalid_argument if `text` has another form
    */
    static result<hybrid_timestamp> parse(const std::string& text);
};

bool operator<(const hybrid_timestamp& left, const hybrid_timestamp& right);
bool operator==(const hybrid_timestamp& left, const hybrid_timestamp& right);

/** A hybrid logical clock, as described by Kulkarni, Demirbas et al. in
    "Logical Physical Clocks" (2014).

    Each process has one. A remote timestamp that is further ahead than
    max_clock_skew is ignored, so that a host whose clock is wrong does not
    advance the clocks of all other hosts. Not thread-safe.
*/
class hybrid_logical_clock
{
public:
    /** Remote timestamps further ahead of the wall clock are ignored. */
    static constexpr std::chrono::seconds max_clock_skew{60};

    /** Returns a new timestamp, for a local event or an outgoing message. */
    hybrid_timestamp tick(wall_time_point now);

    /** Advances the clock to a received timestamp if that is later.

        @returns false if the timestamp was too far ahead and was ignored
    */
    bool observe(const hybrid_timestamp& remote, wall_time_point now);

private:
    hybrid_timestamp last_;
};

} // namespace hibiscusferry

#endif
