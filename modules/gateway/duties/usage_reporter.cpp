#include "gateway/duties/usage_reporter.hpp"

#include <algorithm>
#include <charconv>

namespace hibiscusferry
{

namespace
{

/** Time after the end of a window at which hosts have sent their final counts,
    if none of them is late. */
constexpr std::chrono::milliseconds min_merge_delay{600};
/** Part of the time until a report is due, after which it is recorded without
    the hosts that are still missing. The remainder is for recording and
    sending. */
constexpr int max_merge_delay_percent = 60;
/** A report is sent for this many times as long as it may take. */
constexpr int give_up_factor = 3;
/** Rows of this many windows are kept, several times as long as a report is
    sent. */
constexpr std::uint64_t kept_windows = 24;
/** Time within which hosts send all open windows to a new holder. */
constexpr std::chrono::milliseconds min_collection_time{4000};
constexpr std::chrono::milliseconds min_call_backoff{250};
constexpr std::chrono::milliseconds max_call_backoff{2000};
constexpr std::chrono::milliseconds store_retry_delay{300};

} // namespace

usage_reporter::usage_reporter(const usage_report_timing& timing,
                               const duty_protocol& protocol,
                               const source& counts)
    : timing_(timing)
    , protocol_(protocol)
    , counts_(counts)
{
}

std::uint64_t usage_reporter::window_of(fleet_time time) const
{
    return usage_counter(timing_.window).window_of(time);
}

fleet_time usage_reporter::end_of(std::uint64_t window) const
{
    return usage_counter(timing_.window).end_of(window);
}

std::string usage_reporter::key_of(std::uint64_t window)
{
    return row_prefix + std::to_string(window);
}

std::uint64_t usage_reporter::first_open_window() const
{
    return has_read_rows_ ? next_window_ : 0;
}

std::size_t usage_reporter::last_missing_hosts() const
{
    return last_missing_hosts_;
}

usage_reporter::step usage_reporter::next_step(const situation& current)
{
    if (activity_ != activity::idle || current.now < retry_at_)
        return {};
    if (!current.term)
    {
        term_.reset();
        return {};
    }
    if (term_ != current.term)
        begin_term(current);
    if (!has_read_rows_)
    {
        activity_ = activity::reading;
        step next;
        next.reads_rows = true;
        if (next_window_ > 0)
            next.after_row = key_of(next_window_ - 1);
        return next;
    }
    // A report that may have been sent in an era that the store has forgotten.
    while (was_reported_before(next_window_, current) &&
           recorded_.count(next_window_) == 0)
        ++next_window_;
    // A receiver that does not respond must not delay the next record.
    return is_ready(next_window_, current) ? record(next_window_, current)
                                           : send(current);
}

void usage_reporter::begin_term(const situation& current)
{
    term_ = current.term;
    term_began_at_ = current.now;
    has_read_rows_ = false;
    pending_.clear();
    // Older reports would come too late in any case.
    const std::uint64_t oldest_window =
        window_of(current.agreed_time - give_up_factor * timing_.due);
    const bool is_first_term = next_window_ == 0;
    // Before the first holder nothing was counted.
    next_window_ = is_first_term && current.is_first_holder
                       ? window_of(current.agreed_time)
                       : std::max(next_window_, oldest_window);
}

bool usage_reporter::was_reported_before(std::uint64_t window,
                                         const situation& current) const
{
    return current.era_began_at && end_of(window) <= *current.era_began_at;
}

bool usage_reporter::is_ready(std::uint64_t window,
                              const situation& current) const
{
    if (recorded_.count(window) > 0)
        return true;
    const fleet_time age = current.agreed_time - end_of(window);
    if (age < min_merge_delay)
        return false;
    if (counts_.missing_hosts(window) == 0)
        return true;
    // A new holder has yet to be sent the counts of the windows before.
    return age >= timing_.due * max_merge_delay_percent / 100 &&
           current.now - term_began_at_ >= min_collection_time;
}

usage_reporter::step usage_reporter::record(std::uint64_t window,
                                            const situation& current)
{
    const auto recorded = recorded_.find(window);
    current_window_ = window;
    current_body_ =
        recorded != recorded_.end()
            ? recorded->second
            : protocol_.encode_report({window, counts_.merge(window)});
    last_missing_hosts_ = counts_.missing_hosts(window);
    activity_ = activity::committing;
    step next;
    next.window = window;
    next.commit.emplace();
    next.commit->conditions.push_back({key_of(window), std::nullopt});
    next.commit->conditions.insert(next.commit->conditions.end(),
                                   current.replacement_conditions.begin(),
                                   current.replacement_conditions.end());
    next.commit->writes.push_back({key_of(window), current_body_});
    if (window >= kept_windows)
        next.commit->writes.push_back(
            {key_of(window - kept_windows), std::nullopt});
    recorded_.erase(recorded_.begin(),
                    recorded_.lower_bound(
                        window >= kept_windows ? window - kept_windows : 0));
    return next;
}

usage_reporter::step usage_reporter::send(const situation& current)
{
    for (auto report = pending_.begin(); report != pending_.end();)
    {
        const fleet_time age = current.agreed_time - end_of(report->first);
        if (age > give_up_factor * timing_.due)
        {
            report = pending_.erase(report);
            continue;
        }
        if (report->second.next_send_at <= current.now)
        {
            activity_ = activity::calling;
            current_window_ = report->first;
            step next;
            next.window = report->first;
            next.body = report->second.body;
            return next;
        }
        ++report;
    }
    return {};
}

void usage_reporter::rows_read(const result<std::vector<table_row>>& rows,
                               time_point now)
{
    activity_ = activity::idle;
    if (!rows)
    {
        retry_at_ = now + store_retry_delay;
        return;
    }
    has_read_rows_ = true;
    const std::size_t prefix_size = std::string_view(row_prefix).size();
    for (const table_row& row : rows.value())
    {
        std::uint64_t window = 0;
        const char* const end = row.key.data() + row.key.size();
        const std::from_chars_result parsed =
            std::from_chars(row.key.data() + prefix_size, end, window);
        if (row.key.size() <= prefix_size || parsed.ec != std::errc() ||
            parsed.ptr != end || window < next_window_)
            continue;
        add_pending(window, row.value);
    }
    // Windows before the last one that has a row were skipped.
    if (!pending_.empty())
        next_window_ = std::max(next_window_, pending_.rbegin()->first + 1);
}

void usage_reporter::commit_finished(const result<commit_receipt>& receipt,
                                     time_point now)
{
    activity_ = activity::idle;
    if (!receipt)
    {
        // Only one of this write and the next one can take effect, as both
        // require that the row does not exist.
        retry_at_ = now + store_retry_delay;
        return;
    }
    if (receipt.value().committed)
    {
        recorded_[current_window_] = current_body_;
        add_pending(current_window_, current_body_);
        ++next_window_;
        return;
    }
    const std::string key = key_of(current_window_);
    const auto row = std::find_if(
        receipt.value().conflicts.begin(), receipt.value().conflicts.end(),
        [&key](const table_row& candidate)
        { return candidate.key == key && candidate.version > 0; });
    if (row == receipt.value().conflicts.end())
    {
        // This host has been replaced as the holder.
        term_.reset();
        retry_at_ = now + store_retry_delay;
        return;
    }
    recorded_[current_window_] = row->value;
    add_pending(current_window_, row->value);
    ++next_window_;
}

void usage_reporter::add_pending(std::uint64_t window, const std::string& body)
{
    pending_.try_emplace(window, pending_report{body, {}, {}});
}

void usage_reporter::call_finished(std::optional<duty_result> outcome,
                                   time_point now)
{
    activity_ = activity::idle;
    const auto report = pending_.find(current_window_);
    if (report == pending_.end())
        return;
    const bool is_settled =
        outcome == duty_result::accepted || outcome == duty_result::rejected;
    if (is_settled)
    {
        pending_.erase(report);
        return;
    }
    report->second.backoff = std::clamp(2 * report->second.backoff,
                                        min_call_backoff, max_call_backoff);
    report->second.next_send_at = now + report->second.backoff;
}

} // namespace hibiscusferry
