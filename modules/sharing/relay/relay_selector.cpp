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

void relay_selector::set_candidates(std::vector<std::string> line,
                                    time_point now)
{
    line_ = std::move(line);
    choose(now);
}

std::optional<std::string> relay_selector::relay(time_point now)
{
    const bool is_other = !chosen_.empty() && chosen_ != self_;
    if (is_other && now - heard_at_ > settings_.answer_limit)
        pass_over(chosen_, now);
    choose(now);
    if (chosen_.empty() || chosen_ == self_)
        return std::nullopt;
    return chosen_;
}

bool relay_selector::is_relay(time_point now)
{
    return !self_.empty() && !relay(now);
}

void relay_selector::answered(const std::string& host, bool is_fit,
                              time_point now)
{
    if (!is_fit)
    {
        pass_over(host, now);
        return;
    }
    pauses_.erase(host);
    if (host == chosen_)
        heard_at_ = now;
}

void relay_selector::set_self_eligible(bool is_fit)
{
    is_self_fit_ = is_fit;
}

bool relay_selector::is_passed_over(const std::string& host,
                                    time_point now) const
{
    if (host == self_)
        return !is_self_fit_;
    const auto found = pauses_.find(host);
    return found != pauses_.end() && now < found->second.until;
}

void relay_selector::pass_over(const std::string& host, time_point now)
{
    if (is_passed_over(host, now))
        return;
    pause& set = pauses_[host];
    set.length = std::clamp(2 * set.length, settings_.retry_after,
                            settings_.longest_retry_after);
    set.until = now + set.length;
}

void relay_selector::choose(time_point now)
{
    const auto first = std::find_if(line_.begin(), line_.end(),
                                    [this, now](const std::string& host)
                                    { return !is_passed_over(host, now); });
    const std::string wanted = first == line_.end() ? std::string() : *first;
    if (wanted == chosen_)
        return;
    chosen_ = wanted;
    heard_at_ = now;
}

} // namespace hibiscusferry
