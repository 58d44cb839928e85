#include "serving/scheduling/request_admissions.hpp"

#include <algorithm>

namespace hibiscusferry
{

request_admissions::~request_admissions()
{
    retain({});
}

std::shared_ptr<target_view>
request_admissions::acquire(const target_list& targets, unsigned rank,
                            std::size_t live_hosts, double random_value,
                            time_point now)
{
    for (const std::shared_ptr<target_view>& target : targets)
    {
        if (!target || !target->request_limit.rate(now) || contains(*target))
            continue;
        if (!target->request_limit.try_acquire(rank, live_hosts, random_value,
                                               now))
            return target;
        admissions_.push_back({target, now});
    }
    return nullptr;
}

void request_admissions::retain(const target_list& targets)
{
    std::vector<admission> retained;
    for (admission& held : admissions_)
    {
        if (std::find(targets.begin(), targets.end(), held.target) !=
            targets.end())
            retained.push_back(std::move(held));
        else
            held.target->request_limit.release(held.acquired_at);
    }
    admissions_ = std::move(retained);
}

bool request_admissions::contains(const target_view& target) const
{
    return std::any_of(admissions_.begin(), admissions_.end(),
                       [&target](const admission& held)
                       { return held.target.get() == &target; });
}

void request_admissions::use(target_view& target, time_point now)
{
    const auto held = std::find_if(admissions_.begin(), admissions_.end(),
                                   [&target](const admission& candidate) {
                                       return candidate.target.get() == &target;
                                   });
    if (held != admissions_.end())
        admissions_.erase(held);
    else
        target.request_limit.record_request(now);
}

} // namespace hibiscusferry
