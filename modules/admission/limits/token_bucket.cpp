#include "admission/limits/token_bucket.hpp"

#include <algorithm>

namespace hibiscusferry
{

token_bucket::token_bucket(double rate, double burst, time_point now)
    : rate_(rate)
    , burst_(burst)
    , level_(burst)
    , refilled_(now)
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
    const double present = level(now);
    if (present > 0)
        return now;
    constexpr std::chrono::hours never{24};
    if (rate_ <= 0)
        return now + never;
    const std::chrono::duration<double> wait(-present / rate_);
    return now + std::chrono::ceil<std::chrono::milliseconds>(wait) +
           std::chrono::milliseconds(1);
}

double token_bucket::level(time_point now) const
{
    if (now <= refilled_)
        return level_;
    const std::chrono::duration<double> elapsed = now - refilled_;
    return std::min(burst_, level_ + elapsed.count() * rate_);
}

void token_bucket::refill(time_point now)
{
    level_ = level(now);
    refilled_ = std::max(refilled_, now);
}

} // namespace hibiscusferry
