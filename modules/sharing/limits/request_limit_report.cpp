#include "sharing/limits/request_limit_report.hpp"

namespace hibiscusferry
{

request_limit_report&
request_limit_report::operator+=(const request_limit_report& other)
{
    if (other.age < age)
    {
        rate = other.rate;
        age = other.age;
    }
    recent_requests += other.recent_requests;
    for (std::size_t rank = 0; rank < demand.size(); ++rank)
        demand[rank] += other.demand[rank];
    return *this;
}

void add_reports(request_limit_reports& sum, const request_limit_reports& other,
                 std::chrono::milliseconds delay)
{
    for (const auto& [target, report] : other)
    {
        request_limit_report aged = report;
        aged.age += delay;
        const auto [entry, is_new] = sum.emplace(target, aged);
        if (!is_new)
            entry->second += aged;
    }
}

} // namespace hibiscusferry
