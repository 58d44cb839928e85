#include "gateway/state/configuration_lag.hpp"

namespace hibiscusferry
{

namespace
{

/** Positions that have a time of their own. Later ones replace the last. */
constexpr std::size_t max_positions = 16;

} // namespace

void configuration_lag::record_newer(const store_position& position,
                                     time_point known_at)
{
    const bool is_known =
        !missing_.empty() && !(missing_.back().position < position);
    if (is_known)
        return;
    if (missing_.size() < max_positions)
        missing_.push_back({position, known_at});
    else
        missing_.back().position = position;
}

void configuration_lag::record_own(const store_position& position)
{
    while (!missing_.empty() && !(position < missing_.front().position))
        missing_.pop_front();
}

std::optional<time_point> configuration_lag::missing_since() const
{
    if (missing_.empty())
        return std::nullopt;
    return missing_.front().known_at;
}

std::chrono::milliseconds configuration_lag::duration(time_point now) const
{
    if (missing_.empty())
        return std::chrono::milliseconds(0);
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - missing_.front().known_at);
}

} // namespace hibiscusferry
