#include "authority/fence/fence_raiser.hpp"

#include <algorithm>

namespace hibiscusferry
{

fence_raiser::fence_raiser(std::uint64_t fencing_number,
                           const fence_settings& settings, time_point now)
    : fencing_number_(fencing_number)
    , settings_(settings)
    , started_(now)
{
}

void fence_raiser::set_targets(const std::vector<std::string>& targets,
                               time_point now)
{
    std::map<std::string, target_progress> updated;
    for (const std::string& target : targets)
    {
        const auto existing = targets_.find(target);
        target_progress state;
        state.next_attempt = now;
        state.retry_delay = settings_.initial_retry_delay;
        updated.emplace(target,
                        existing == targets_.end() ? state : existing->second);
    }
    targets_.swap(updated);
}

std::vector<raise_fence> fence_raiser::tick(time_point now)
{
    std::vector<raise_fence> requests;
    for (auto& [target, state] : targets_)
    {
        if (state.raised || state.in_flight || now < state.next_attempt)
            continue;
        state.in_flight = true;
        requests.push_back({target, fencing_number_});
    }
    return requests;
}

void fence_raiser::confirmed(const std::string& target,
                             std::uint64_t greatest_number)
{
    if (greatest_number > fencing_number_)
        superseded_ = true;
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return;
    entry->second.in_flight = false;
    entry->second.raised = greatest_number == fencing_number_;
}

void fence_raiser::failed(const std::string& target, time_point now)
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return;
    target_progress& state = entry->second;
    state.in_flight = false;
    state.next_attempt = now + state.retry_delay;
    state.retry_delay =
        std::min(state.retry_delay * 2, settings_.max_retry_delay);
}

void fence_raiser::target_restarted(const std::string& target, time_point now)
{
    const auto entry = targets_.find(target);
    if (entry == targets_.end())
        return;
    entry->second.raised = false;
    entry->second.next_attempt = now;
    entry->second.retry_delay = settings_.initial_retry_delay;
}

bool fence_raiser::is_raised(const std::string& target) const
{
    const auto entry = targets_.find(target);
    return entry != targets_.end() && entry->second.raised;
}

bool fence_raiser::can_issue_orders(time_point now) const
{
    if (superseded_)
        return false;
    return now >= started_ + settings_.grace || unconfirmed_targets().empty();
}

bool fence_raiser::is_superseded() const
{
    return superseded_;
}

std::vector<std::string> fence_raiser::unconfirmed_targets() const
{
    std::vector<std::string> names;
    for (const auto& [target, state] : targets_)
    {
        if (!state.raised)
            names.push_back(target);
    }
    return names;
}

} // namespace hibiscusferry
