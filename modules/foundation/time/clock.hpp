#ifndef HIBISCUSFERRY_FOUNDATION_TIME_CLOCK_HPP
#define HIBISCUSFERRY_FOUNDATION_TIME_CLOCK_HPP

#include <chrono>

namespace hibiscusferry
{

/** A steady clock that continues to advance while the machine is suspended.

    Meets the Clock requirements of the standard, and is based on
    CLOCK_BOOTTIME. Leases are measured on it, so that a lease holder notices
    that its lease expired while the machine was suspended.
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

/** A time on the boot_clock, used for all decisions that depend on time. */
using time_point = boot_clock::time_point;

/** Wall-clock time, used only for display and by the hybrid logical clock. */
using wall_time_point = std::chrono::time_point<std::chrono::system_clock,
                                                std::chrono::microseconds>;

/** The source of time for code that performs I/O.

    Classes that only make decisions take the time as an argument and hold no
    clock.
*/
class clock
{
public:
    virtual ~clock() = default;

    /** Returns the current time of the steady clock. */
    virtual time_point now() const = 0;

    /** Returns the current wall-clock time. */
    virtual wall_time_point wall_time() const = 0;
};

/** The clocks of the operating system. */
class machine_clock final : public clock
{
public:
    time_point now() const override;
    wall_time_point wall_time() const override;
};

/** A clock that advances only under program control, for tests and
    benchmarks. */
class manual_clock final : public clock
{
public:
    time_point now() const override;
    wall_time_point wall_time() const override;

    /** Advances the steady clock and the wall clock by `step`. */
    void advance(std::chrono::nanoseconds step);

private:
    std::chrono::nanoseconds elapsed_{0};
};

} // namespace hibiscusferry

#endif
