#include "foundation/time/hybrid_logical_clock.hpp"

#include <charconv>
#include <tuple>

namespace hibiscusferry
{

std::string hybrid_timestamp::text() const
{
    return std::to_string(wall_microseconds) + "." + std::to_string(counter);
}

result<hybrid_timestamp> hybrid_timestamp::parse(const std::string& text)
{
    const char* const end = text.data() + text.size();
    hybrid_timestamp parsed;
    const std::from_chars_result wall =
        std::from_chars(text.data(), end, parsed.wall_microseconds);
    if (wall.ec != std::errc() || wall.ptr == end || *wall.ptr != '.')
        return std::make_error_code(std::errc::invalid_argument);

    const std::from_chars_result counter =
        std::from_chars(wall.ptr + 1, end, parsed.counter);
    if (counter.ec != std::errc() || counter.ptr != end)
        return std::make_error_code(std::errc::invalid_argument);
    return parsed;
}

bool operator<(const hybrid_timestamp& left, const hybrid_timestamp& right)
{
    return std::tie(left.wall_microseconds, left.counter) <
           std::tie(right.wall_microseconds, right.counter);
}

bool operator==(const hybrid_timestamp& left, const hybrid_timestamp& right)
{
    return left.wall_microseconds == right.wall_microseconds &&
           left.counter == right.counter;
}

hybrid_timestamp hybrid_logical_clock::tick(wall_time_point now)
{
    const std::int64_t wall = now.time_since_epoch().count();
    if (wall > last_.wall_microseconds)
        last_ = {wall, 0};
    else
        ++last_.counter;
    return last_;
}

bool hybrid_logical_clock::observe(const hybrid_timestamp& remote,
                                   wall_time_point now)
{
    const std::chrono::microseconds lead =
        std::chrono::microseconds(remote.wall_microseconds) -
        now.time_since_epoch();
    if (lead > max_clock_skew)
        return false;
    if (last_ < remote)
        last_ = remote;
    return true;
}

} // namespace hibiscusferry
