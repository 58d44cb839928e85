#include "routing/attempts/attempt_ledger.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

bool leaves_connection_reusable(attempt_completion completion)
{
    return completion == attempt_completion::answered ||
           completion == attempt_completion::server_error ||
           completion == attempt_completion::refused;
}

bool can_be_repeated(attempt_completion completion)
{
    return completion != attempt_completion::answered &&
           completion != attempt_completion::server_error &&
           completion != attempt_completion::caller_gone;
}

bool may_be_caused_by_target(attempt_completion completion)
{
    return can_be_repeated(completion) &&
           completion != attempt_completion::refused;
}

} // namespace

std::string_view to_text(call_outcome outcome)
{
    static constexpr std::string_view names[] = {"not_run", "unknown", "failed",
                                                 "answered"};
    return names[static_cast<std::size_t>(outcome)];
}

void attempt_ledger::open(const ledger_request& request)
{
    request_state state;
    state.request = request;
    requests_.emplace(request.id, std::move(state));
}

bool attempt_ledger::begin(const std::string& request,
                           const std::string& attempt,
                           const std::string& target, time_point now)
{
    const auto entry = requests_.find(request);
    if (entry == requests_.end() || !may_send(entry->second, now) ||
        attempts_.count(attempt) > 0)
    {
        return false;
    }
    request_state& state = entry->second;
    state.running_attempt = attempt;
    state.tried.push_back(target);
    attempts_.emplace(attempt, attempt_state{request, target, false});
    return true;
}

void attempt_ledger::send_started(const std::string& attempt)
{
    const auto entry = attempts_.find(attempt);
    if (entry != attempts_.end())
        entry->second.sent = true;
}

void attempt_ledger::response_started(const std::string& request)
{
    const auto entry = requests_.find(request);
    if (entry != requests_.end())
        entry->second.response_started = true;
}

echo_check attempt_ledger::check_echo(const std::string& attempt,
                                      std::string_view echoed) const
{
    return attempts_.count(attempt) > 0 && echoed == attempt
               ? echo_check::matches
               : echo_check::unmatched;
}

attempt_verdict attempt_ledger::end(const std::string& attempt,
                                    attempt_completion completion,
                                    time_point now)
{
    attempt_verdict verdict;
    const auto entry = attempts_.find(attempt);
    if (entry == attempts_.end())
    {
        ++unmatched_responses_;
        return verdict;
    }
    if (completion == attempt_completion::attempt_id_mismatch)
        ++unmatched_responses_;
    const attempt_state completed = entry->second;
    attempts_.erase(entry);

    request_state& state = requests_.at(completed.request);
    state.running_attempt.clear();
    state.outcome =
        combine_outcomes(state.outcome, outcome_of(completed, completion));
    verdict.outcome = completion == attempt_completion::answered
                          ? call_outcome::answered
                          : state.outcome;
    verdict.may_retry = can_be_repeated(completion) && may_send(state, now);
    verdict.connection_reusable = leaves_connection_reusable(completion);
    verdict.counts_against_target = may_be_caused_by_target(completion);
    return verdict;
}

std::vector<std::string>
attempt_ledger::tried_targets(const std::string& request) const
{
    const auto entry = requests_.find(request);
    if (entry == requests_.end())
        return {};
    return entry->second.tried;
}

call_outcome attempt_ledger::current_outcome(const std::string& request) const
{
    const auto entry = requests_.find(request);
    if (entry == requests_.end())
        return call_outcome::unknown;
    const request_state& state = entry->second;
    const auto running = attempts_.find(state.running_attempt);
    if (running != attempts_.end() && running->second.sent)
        return call_outcome::unknown;
    return state.outcome;
}

void attempt_ledger::close(const std::string& request)
{
    const auto entry = requests_.find(request);
    if (entry == requests_.end())
        return;
    attempts_.erase(entry->second.running_attempt);
    requests_.erase(entry);
}

std::size_t attempt_ledger::size() const
{
    return requests_.size();
}

std::uint64_t attempt_ledger::unmatched_response_count() const
{
    return unmatched_responses_;
}

call_outcome attempt_ledger::outcome_of(const attempt_state& attempt,
                                        attempt_completion completion)
{
    if (!attempt.sent)
        return call_outcome::not_run;
    switch (completion)
    {
    case attempt_completion::answered:
        return call_outcome::answered;
    case attempt_completion::server_error:
        return call_outcome::failed;
    case attempt_completion::refused:
        return call_outcome::not_run;
    default:
        return call_outcome::unknown;
    }
}

call_outcome attempt_ledger::combine_outcomes(call_outcome former,
                                              call_outcome latest)
{
    if (latest == call_outcome::answered || former == call_outcome::not_run)
        return latest;
    if (latest == call_outcome::not_run || former == call_outcome::unknown)
        return former;
    return latest;
}

bool attempt_ledger::may_send(const request_state& state, time_point now)
{
    const bool may_have_run = state.outcome != call_outcome::not_run;
    return state.running_attempt.empty() && !state.response_started &&
           state.outcome != call_outcome::answered &&
           (state.request.idempotent || !may_have_run) &&
           now + min_time_for_retry <= state.request.deadline;
}

} // namespace hibiscusferry
