#include "sharing/relay/relay_selector.hpp"

#include <algorithm>

namespace hibiscusferry
{

relay_selector::relay_selector(std::string self,
                               const relay_selector_settings& settings)
    : self_(std::move(self))
    , settings_(settings)
{
}

void relay_selector::set_candidates(std::vector<std::string> candidates,
                                    time_point now)
{
    candidates_ = std::move(candidates);
    select(now);
}

std::optional<std::string> relay_selector::relay(time_point now)
{
    const bool is_other_host = !selected_.empty() && selected_ != self_;
    if (is_other_host && now - last_response_at_ > settings_.response_timeout)
        exclude(selected_, now);
    select(now);
    if (selected_.empty() || selected_ == self_)
        return std::nullopt;
    return selected_;
}

bool relay_selector::is_relay(time_point now)
{
    return !self_.empty() && !relay(now);
}

void relay_selector::record_report(time_point now)
{
    last_report_at_ = now;
}

void relay_selector::record_response(const std::string& host, bool is_eligible,
                                     time_point now)
{
    if (!is_eligible)
    {
        exclude(host, now);
        return;
    }
    backoffs_.erase(host);
    if (host == selected_)
        last_response_at_ = now;
}

void relay_selector::set_self_eligible(bool is_eligible)
{
    is_self_eligible_ = is_eligible;
}

bool relay_selector::is_excluded(const std::string& host, time_point now) const
{
    if (host == self_)
        return !is_self_eligible_;
    const auto backoff = backoffs_.find(host);
    return backoff != backoffs_.end() && now < backoff->second.until;
}

void relay_selector::exclude(const std::string& host, time_point now)
{
    if (is_excluded(host, now))
        return;
    retry_backoff& backoff = backoffs_[host];
    backoff.delay = std::clamp(2 * backoff.delay, settings_.retry_delay,
                               settings_.max_retry_delay);
    backoff.until = now + backoff.delay;
}

void relay_selector::select(time_point now)
{
    const auto first = std::find_if(candidates_.begin(), candidates_.end(),
                                    [this, now](const std::string& host)
                                    { return !is_excluded(host, now); });
    const bool is_requested =
        is_self_eligible_ && last_report_at_ &&
        now - *last_report_at_ <= settings_.report_lifetime;
    const std::string preferred =
        first == candidates_.end() ? std::string() : *first;
    const std::string& candidate = is_requested ? self_ : preferred;
    if (candidate == selected_)
        return;
    selected_ = candidate;
    last_response_at_ = now;
}

} // namespace hibiscusferry
