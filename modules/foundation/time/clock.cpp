#include "foundation/time/clock.hpp"

#include <ctime>

namespace hibiscusferry
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::seconds(now.tv_sec) +
                      std::chrono::nanoseconds(now.tv_nsec));
}

time_point machine_clock::now() const
{
    return boot_clock::now();
}

wall_time_point machine_clock::wall_time() const
{
    return std::chrono::time_point_cast<std::chrono::microseconds>(
        std::chrono::system_clock::now());
}

time_point manual_clock::now() const
{
    return time_point(elapsed_);
}

wall_time_point manual_clock::wall_time() const
{
    return wall_time_point(
        std::chrono::duration_cast<std::chrono::microseconds>(elapsed_));
}

void manual_clock::advance(std::chrono::nanoseconds step)
{
    elapsed_ += step;
}

} // namespace hibiscusferry
