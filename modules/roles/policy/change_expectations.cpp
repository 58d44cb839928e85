#include "roles/policy/change_expectations.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** The observed maxima decay by the reciprocal of this divisor with each
    report. */
constexpr int decay_divisor = 64;
/** The number of consecutive reports that may be lost before an expectation
    expires. */
constexpr int tolerated_report_losses = 2;
/** Longer intervals are caused by outages and do not reflect the usual report
    interval, so samples are capped at this value. */
constexpr std::chrono::nanoseconds max_sampled_interval =
    std::chrono::seconds(30);

void update_decaying_max(std::chrono::nanoseconds& maximum,
                         std::chrono::nanoseconds sample)
{
    maximum = std::max(sample, maximum - maximum / decay_divisor);
}

} // namespace

void change_expectations::expect(const std::string& engine, engine_role to,
                                 time_point deadline, time_point now)
{
    const std::map<std::string, expectation>::iterator entry =
        expectations_.find(engine);
    if (entry != expectations_.end() && entry->second.to == to)
    {
        entry->second.deadline = deadline;
        return;
    }
    expectations_[engine] = {to, now, std::nullopt, deadline};
}

void change_expectations::on_finished(const std::string& engine, time_point now)
{
    const std::map<std::string, expectation>::iterator entry =
        expectations_.find(engine);
    if (entry == expectations_.end())
        return;
    entry->second.finished_at = now;
    entry->second.deadline = now;
}

void change_expectations::withdraw(const std::string& engine)
{
    expectations_.erase(engine);
}

void change_expectations::remove_engine(const std::string& engine)
{
    expectations_.erase(engine);
    last_report_times_.erase(engine);
}

void change_expectations::on_report(const engine_report& report, time_point now)
{
    update_decaying_max(max_report_age_, now - report.measured_at);
    time_point& last_report_at = last_report_times_[report.engine];
    if (last_report_at != time_point() && now > last_report_at)
        update_decaying_max(
            max_report_interval_,
            std::min(now - last_report_at, max_sampled_interval));
    last_report_at = now;

    const std::map<std::string, expectation>::iterator entry =
        expectations_.find(report.engine);
    if (entry == expectations_.end())
        return;
    const expectation& expected = entry->second;
    if (report.state != engine_state::serving ||
        report.measured_at < expected.created_at)
        return;
    const bool is_confirmed = report.role == expected.to;
    const bool is_contradicted = expected.finished_at.has_value() &&
                                 report.measured_at > *expected.finished_at;
    if (is_confirmed || is_contradicted)
        expectations_.erase(entry);
}

std::vector<std::string> change_expectations::expire(time_point now)
{
    std::vector<std::string> expired;
    for (std::map<std::string, expectation>::iterator entry =
             expectations_.begin();
         entry != expectations_.end();)
    {
        if (now > entry->second.deadline + report_grace_period())
        {
            expired.push_back(entry->first);
            entry = expectations_.erase(entry);
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
    const std::map<std::string, expectation>::const_iterator entry =
        expectations_.find(engine);
    if (entry == expectations_.end())
        return std::nullopt;
    return entry->second.to;
}

std::size_t change_expectations::size() const
{
    return expectations_.size();
}

std::chrono::nanoseconds change_expectations::max_report_age() const
{
    return max_report_age_;
}

std::chrono::nanoseconds change_expectations::report_grace_period() const
{
    return max_report_age_ +
           max_report_interval_ * (tolerated_report_losses + 1);
}

} // namespace hibiscusferry
