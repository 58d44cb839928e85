#include "admission/limits/token_bucket.hpp"

#include <algorithm>

namespace hibiscusferry
{

token_bucket::token_bucket(double rate, double burst, time_point now)
    : rate_(rate)
    , burst_(burst)
    , level_(burst)
    , refilled_at_(now)
{
}

void token_bucket::configure(double rate, double burst, time_point now)
{
    refill(now);
    rate_ = rate;
    burst_ = burst;
    level_ = std::min(level_, burst);
}

bool token_bucket::take(double amount, time_point now)
{
    refill(now);
    if (level_ <= 0)
        return false;
    level_ -= amount;
    return true;
}

void token_bucket::adjust(double amount, time_point now)
{
    refill(now);
    level_ = std::min(burst_, level_ + amount);
}

time_point token_bucket::available_at(time_point now) const
{
    const double current_level = level(now);
    if (current_level > 0)
        return now;
    constexpr std::chrono::hours max_wait{24};
    if (rate_ <= 0)
        return now + max_wait;
    const std::chrono::duration<double> time_to_refill(-current_level / rate_);
    return now + std::chrono::ceil<std::chrono::milliseconds>(time_to_refill) +
           std::chrono::milliseconds(1);
}

double token_bucket::level(time_point now) const
{
    if (now <= refilled_at_)
        return level_;
    const std::chrono::duration<double> elapsed = now - refilled_at_;
    return std::min(burst_, level_ + elapsed.count() * rate_);
}

void token_bucket::refill(time_point now)
{
    level_ = level(now);
    refilled_at_ = std::max(refilled_at_, now);
}

} // namespace hibiscusferry
