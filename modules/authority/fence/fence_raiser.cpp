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
    std::map<std::string, progress> listed;
    for (const std::string& target : targets)
    {
        const auto known = targets_.find(target);
        progress state;
        state.next_attempt = now;
        state.retry = settings_.first_retry;
        listed.emplace(target, known == targets_.end() ? state : known->second);
    }
    targets_.swap(listed);
}

std::vector<raise_fence> fence_raiser::tick(time_point now)
{
    std::vector<raise_fence> raises;
    for (auto& [target, state] : targets_)
    {
        if (state.raised || state.in_flight || now < state.next_attempt)
            continue;
        state.in_flight = true;
        raises.push_back({target, fencing_number_});
    }
    return raises;
}

void fence_raiser::confirmed(const std::string& target, std::uint64_t greatest)
{
    if (greatest > fencing_number_)
        superseded_ = true;
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.in_flight = false;
    found->second.raised = greatest == fencing_number_;
}

void fence_raiser::failed(const std::string& target, time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    progress& state = found->second;
    state.in_flight = false;
    state.next_attempt = now + state.retry;
    state.retry = std::min(state.retry * 2, settings_.longest_retry);
}

void fence_raiser::target_restarted(const std::string& target, time_point now)
{
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return;
    found->second.raised = false;
    found->second.next_attempt = now;
    found->second.retry = settings_.first_retry;
}

bool fence_raiser::is_raised(const std::string& target) const
{
    const auto found = targets_.find(target);
    return found != targets_.end() && found->second.raised;
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
