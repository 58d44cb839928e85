#ifndef HIBISCUSFERRY_FOUNDATION_TIME_HYBRID_LOGICAL_CLOCK_HPP
#define HIBISCUSFERRY_FOUNDATION_TIME_HYBRID_LOGICAL_CLOCK_HPP

#include "foundation/result/result.hpp"
#include "foundation/time/clock.hpp"
#include <chrono>
#include <cstdint>
#include <string>

namespace hibiscusferry
{

/** A moment that orders events of all processes consistently with the
    messages between them. Compares by wall time, then by counter.
*/
struct hybrid_timestamp
{
    std::int64_t wall_microseconds = 0;
    std::uint32_t counter = 0;

    /** "WALL_MICROSECONDS.COUNTER", as sent in headers and messages. */
    std::string text() const;

    /** Reads what text() wrote; std::errc::invalid_argument otherwise. */
    static result<hybrid_timestamp> parse(const std::string& text);
};

bool operator<(const hybrid_timestamp& left, const hybrid_timestamp& right);
bool operator==(const hybrid_timestamp& left, const hybrid_timestamp& right);

/** A hybrid logical clock: Kulkarni, Demirbas et al., "Logical Physical
    Clocks", 2014.

    One per process, used from one thread. A remote timestamp further ahead
    than the greatest accepted skew is ignored, so that one host with a wrong
    clock does not drag all others with it.
*/
class hybrid_logical_clock
{
public:
    /** Remote timestamps further ahead than this are not taken over. */
    static constexpr std::chrono::seconds greatest_skew{60};

    /** A timestamp for a local event or a message about to be sent. */
    hybrid_timestamp tick(wall_time_point now);

    /** Takes a received timestamp into account.
        @returns false when it was too far ahead and was ignored */
    bool observe(const hybrid_timestamp& remote, wall_time_point now);

private:
    hybrid_timestamp last_;
};

} // namespace hibiscusferry

#endif
