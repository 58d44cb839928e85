#include "admission/queue/drain_rate.hpp"

namespace hibiscusferry
{

void drain_rate::record_departure(double cost, bool still_waiting,
                                  time_point now)
{
    if (window_start_)
    {
        window_cost_ += cost;
        const std::chrono::duration<double> length = now - *window_start_;
        if (length >= window)
        {
            const double sample = window_cost_ / length.count();
            rate_ =
                rate_ ? *rate_ + smoothing_factor * (sample - *rate_) : sample;
            window_start_.reset();
        }
    }
    if (!still_waiting)
    {
        window_start_.reset();
        return;
    }
    if (!window_start_)
    {
        window_start_ = now;
        window_cost_ = 0;
    }
}

std::optional<double> drain_rate::tokens_per_second() const
{
    return rate_;
}

} // namespace hibiscusferry
