#ifndef HIBISCUSFERRY_FOUNDATION_TIME_CLOCK_HPP
#define HIBISCUSFERRY_FOUNDATION_TIME_CLOCK_HPP

#include <chrono>

namespace hibiscusferry
{

/** A steady clock that goes on while the machine is suspended.

    Satisfies the standard's requirements for a clock, on CLOCK_BOOTTIME.
    Leases are counted on it, so that a holder that slept knows it did.
*/
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true;

    static time_point now() noexcept;
};

/** A moment on the boot_clock; the time type of all decisions. */
using time_point = boot_clock::time_point;

/** Wall-clock time, for people and for the hybrid logical clock only. */
using wall_time_point = std::chrono::time_point<std::chrono::system_clock,
                                                std::chrono::microseconds>;

/** The source of time for code that does I/O.

    Decision classes take the time as an argument and never hold a clock.
*/
class clock
{
public:
    virtual ~clock() = default;

    /** The present moment on the steady clock. */
    virtual time_point now() const = 0;

    /** The present wall-clock time. */
    virtual wall_time_point wall_time() const = 0;
};

/** The machine's own clocks. */
class machine_clock final : public clock
{
public:
    time_point now() const override;
    wall_time_point wall_time() const override;
};

/** A clock that only moves when told to; for tests and benches. */
class manual_clock final : public clock
{
public:
    time_point now() const override;
    wall_time_point wall_time() const override;

    /** Moves both clocks forward by `step`. */
    void advance(std::chrono::nanoseconds step);

private:
    std::chrono::nanoseconds elapsed_{0};
};

} // namespace hibiscusferry

#endif
