#include "roles/policy/change_expectations.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** How slowly the observed greatest lag and gap are forgotten: each report
    takes off one part in this many. */
constexpr int forgetting_divisor = 64;
/** Reports that may be lost in a row before an expectation expires. */
constexpr int tolerated_lost_reports = 2;
/** A longer silence is an outage and says nothing about usual gaps. */
constexpr std::chrono::nanoseconds greatest_gap = std::chrono::seconds(30);

void raise_decaying(std::chrono::nanoseconds& greatest,
                    std::chrono::nanoseconds sample)
{
    greatest = std::max(sample, greatest - greatest / forgetting_divisor);
}

} // namespace

void change_expectations::expect(const std::string& engine, engine_role to,
                                 time_point deadline, time_point now)
{
    const std::map<std::string, expectation>::iterator found =
        pending_.find(engine);
    if (found != pending_.end() && found->second.to == to)
    {
        found->second.deadline = deadline;
        return;
    }
    pending_[engine] = {to, now, std::nullopt, deadline};
}

void change_expectations::on_finished(const std::string& engine, time_point now)
{
    const std::map<std::string, expectation>::iterator found =
        pending_.find(engine);
    if (found == pending_.end())
        return;
    found->second.finished_at = now;
    found->second.deadline = now;
}

void change_expectations::withdraw(const std::string& engine)
{
    pending_.erase(engine);
}

void change_expectations::forget(const std::string& engine)
{
    pending_.erase(engine);
    reported_at_.erase(engine);
}

void change_expectations::on_report(const engine_report& report, time_point now)
{
    raise_decaying(lag_, now - report.measured_at);
    time_point& reported_at = reported_at_[report.engine];
    if (reported_at != time_point() && now > reported_at)
        raise_decaying(gap_, std::min(now - reported_at, greatest_gap));
    reported_at = now;

    const std::map<std::string, expectation>::iterator found =
        pending_.find(report.engine);
    if (found == pending_.end())
        return;
    const expectation& expected = found->second;
    if (report.state != engine_state::serving ||
        report.measured_at < expected.raised_at)
        return;
    const bool met = report.role == expected.to;
    const bool refuted = expected.finished_at.has_value() &&
                         report.measured_at > *expected.finished_at;
    if (met || refuted)
        pending_.erase(found);
}

std::vector<std::string> change_expectations::expire(time_point now)
{
    std::vector<std::string> expired;
    for (std::map<std::string, expectation>::iterator entry = pending_.begin();
         entry != pending_.end();)
    {
        if (now > entry->second.deadline + report_allowance())
        {
            expired.push_back(entry->first);
            entry = pending_.erase(entry);
        }
        else
        {
            ++entry;
        }
    }
    return expired;
}

std::optional<engine_role>
change_expectations::expected_role(const std::string& engine) const
{
    const std::map<std::string, expectation>::const_iterator found =
        pending_.find(engine);
    if (found == pending_.end())
        return std::nullopt;
    return found->second.to;
}

std::size_t change_expectations::size() const
{
    return pending_.size();
}

std::chrono::nanoseconds change_expectations::observed_lag() const
{
    return lag_;
}

std::chrono::nanoseconds change_expectations::report_allowance() const
{
    return lag_ + gap_ * (tolerated_lost_reports + 1);
}

} // namespace hibiscusferry
