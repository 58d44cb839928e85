#include "soak/request_ledger.hpp"

namespace hibiscusferry::soak
{

namespace
{

/** Whether a status promises that the request has not run and never will. */
bool is_promise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

} // namespace

request_ledger::request_ledger(review::event_record& record)
    : record_(record)
{
}

void request_ledger::sent(const std::string& id, const request_type& type,
                          const std::string& details)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[id].type = &type;
    record_.add("caller sends id=" + id + " " + type.route + " " + details);
}

void request_ledger::answered(const std::string& id, int status)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.add("caller gets id=" + id + " " + std::to_string(status));
    entry& request = entries_[id];
    if (!is_promise(status) || request.type->is_repeatable())
        return;
    request.refusal = status;
    if (!request.runs.empty())
        report_locked("REFUSED", id,
                      std::to_string(status) + " after it ran at " +
                          request.runs.front());
}

void request_ledger::finished(const std::string& id, const std::string& outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.add("caller ends id=" + id + " " + outcome);
    ++totals_[std::string(entries_[id].type->route) + " " + outcome];
    ++outcomes_[outcome];
}

void request_ledger::began_to_run(const std::string& id, const std::string& run)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    record_.add("target runs id=" + id + " run=" + run);
    entry& request = entries_[id];
    request.runs.push_back(run);
    if (request.type == nullptr)
    {
        report_locked("UNASKED", id, "no caller sent what ran at " + run);
        return;
    }
    if (request.type->is_repeatable())
        return;
    if (request.runs.size() > 1)
        report_locked("TWICE", id, request.runs.front() + " and " + run);
    if (request.refusal != 0)
        report_locked("REFUSED", id,
                      "runs at " + run + " after the caller got " +
                          std::to_string(request.refusal));
}

void request_ledger::note(const std::string& id, const std::string& text)
{
    record_.add("target id=" + id + " " + text);
}

void request_ledger::report(const std::string& rule, const std::string& id,
                            const std::string& text)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    report_locked(rule, id, text);
}

void request_ledger::report_locked(const std::string& rule,
                                   const std::string& id,
                                   const std::string& text)
{
    violations_.push_back({rule, id, text, record_.now_ms()});
    record_.say("VIOLATION " + rule + " id=" + id + " " + text);
}

std::vector<violation> request_ledger::violations()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return violations_;
}

std::map<std::string, int> request_ledger::totals()
{
    const std::lock_guard<std::mutex> lock(mutex_);
    return totals_;
}

int request_ledger::count(const std::string& outcome)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = outcomes_.find(outcome);
    return found == outcomes_.end() ? 0 : found->second;
}

} // namespace hibiscusferry::soak
