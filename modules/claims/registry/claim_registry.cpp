#include "claims/registry/claim_registry.hpp"

#include "claims/settled_write/row_stamp.hpp"
#include <algorithm>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Maximum number of times that a call claims its key after competing calls
    released it. */
constexpr std::uint32_t max_claim_attempts = 4;
/** Maximum number of processes remembered as terminated. */
constexpr std::size_t max_terminated_owners = 4096;
/** Backoff before a failed store operation is retried. */
constexpr std::chrono::milliseconds store_retry_backoff{1000};

} // namespace

claim_registry::claim_registry(std::string process, const claim_limits& limits)
    : process_(std::move(process))
    , limits_(limits)
{
}

void claim_registry::set_wall_time(wall_time_point wall, time_point now)
{
    wall_offset_ = wall.time_since_epoch() - now.time_since_epoch();
}

// ========================================================================
// Calls and targets
// ========================================================================

claim_registry::actions claim_registry::call_received(const claim_call& call,
                                                      time_point now)
{
    actions next_actions;
    const std::string row_key = call.name.row_key();
    const auto position = entries_.find(row_key);
    if (position == entries_.end() &&
        calls_.size() >= limits_.max_calls_in_flight)
    {
        next_actions.emplace_back(call_response{
            call.call_id, claim_verdict::not_run, {}, limits_.retry_after});
        return next_actions;
    }
    if (position != entries_.end())
    {
        join(row_key, position->second, call, next_actions);
    }
    else
    {
        entry& claim = entries_[row_key];
        claim.call = call;
        calls_[call.call_id] = row_key;
        submit_claim(row_key, claim, now, next_actions);
    }
    schedule(row_key);
    return next_actions;
}

claim_registry::actions
claim_registry::call_completed(const std::string& call_id,
                               const stored_response& response, time_point now)
{
    actions next_actions;
    entry* const claim = running_entry(call_id);
    if (claim == nullptr)
        return next_actions;
    const std::string row_key = calls_.at(call_id);
    settle(row_key, *claim, response, now, next_actions);
    schedule(row_key);
    return next_actions;
}

claim_registry::actions claim_registry::call_not_run(const std::string& call_id,
                                                     time_point now)
{
    actions next_actions;
    entry* const claim = running_entry(call_id);
    if (claim == nullptr)
        return next_actions;
    const std::string row_key = calls_.at(call_id);
    respond(*claim, claim_verdict::not_run, next_actions);
    record(row_key, *claim, claim_state::released, now, next_actions);
    schedule(row_key);
    return next_actions;
}

claim_registry::actions
claim_registry::call_interrupted(const std::string& call_id, time_point now)
{
    actions next_actions;
    entry* const claim = running_entry(call_id);
    if (claim == nullptr)
        return next_actions;
    const std::string row_key = calls_.at(call_id);
    resolve(row_key, *claim, now, next_actions);
    schedule(row_key);
    return next_actions;
}

claim_registry::actions claim_registry::call_status_received(
    const std::string& row_key, call_status status,
    const stored_response& response, time_point now)
{
    actions next_actions;
    const auto position = entries_.find(row_key);
    if (position == entries_.end() ||
        position->second.stage != entry_stage::querying_status)
        return next_actions;
    entry& claim = position->second;
    if (status == call_status::done)
    {
        emit_event(event_number::claim_settled_by_status, claim, next_actions);
        settle(row_key, claim, response, now, next_actions);
    }
    else if (status == call_status::absent)
    {
        emit_event(event_number::claim_barred, claim, next_actions);
        respond(claim, claim_verdict::barred, next_actions);
        record(row_key, claim, claim_state::barred, now, next_actions);
    }
    else if (now + limits_.status_poll_interval < claim.status_deadline)
    {
        wait(claim, entry_stage::querying_status,
             now + limits_.status_poll_interval);
    }
    else
    {
        abandon_status_query(row_key, claim, now, next_actions);
    }
    schedule(row_key);
    return next_actions;
}

// ========================================================================
// Store
// ========================================================================

claim_registry::actions
claim_registry::update_completed(const update_outcome& outcome, time_point now)
{
    actions next_actions;
    const auto update = updates_.find(outcome.id);
    if (update == updates_.end())
        return next_actions;
    const std::string row_key = update->second;
    updates_.erase(update);
    entry& claim = entries_.at(row_key);
    if (claim.stage == entry_stage::claiming)
        claim_update_completed(row_key, claim, outcome, now, next_actions);
    else
        record_update_completed(row_key, claim, outcome, now, next_actions);
    schedule(row_key);
    return next_actions;
}

claim_registry::actions claim_registry::row_read(const std::string& row_key,
                                                 const result<table_row>& row,
                                                 time_point now)
{
    actions next_actions;
    const auto position = entries_.find(row_key);
    if (position == entries_.end() ||
        position->second.stage != entry_stage::reading)
        return next_actions;
    entry& claim = position->second;
    if (row)
    {
        process_row(row_key, claim, row.value(), now, next_actions);
    }
    else if (row.error() == platform_error::not_found)
    {
        process_row(row_key, claim, {row_key, "", 0}, now, next_actions);
    }
    else
    {
        respond(claim, claim_verdict::unknown, next_actions);
        wait(claim, entry_stage::reading, now + store_retry_backoff);
    }
    schedule(row_key);
    return next_actions;
}

claim_registry::actions claim_registry::body_stored(const std::string& row_key,
                                                    const result<void>& stored,
                                                    time_point now)
{
    actions next_actions;
    const auto position = entries_.find(row_key);
    if (position == entries_.end() ||
        position->second.stage != entry_stage::storing)
        return next_actions;
    entry& claim = position->second;
    const bool gives_up = now >= claim.status_deadline;
    if (!stored && !gives_up)
    {
        wait(claim, entry_stage::storing, now + store_retry_backoff);
    }
    else
    {
        if (!stored)
        {
            emit_event(event_number::claim_answer_not_kept, claim,
                       next_actions);
            claim.record.answer.is_body_kept = false;
            claim.record.answer.body_object.clear();
        }
        // clear() would keep the memory.
        std::string().swap(claim.record.answer.body);
        record(row_key, claim, claim_state::settled, now, next_actions);
    }
    schedule(row_key);
    return next_actions;
}

// ========================================================================
// Time and other processes
// ========================================================================

claim_registry::actions claim_registry::tick(time_point now)
{
    actions next_actions;
    while (!wakes_.empty() && wakes_.begin()->first <= now)
    {
        const std::string row_key = wakes_.begin()->second;
        wakes_.erase(wakes_.begin());
        entry& claim = entries_.at(row_key);
        claim.registered_wake = time_point::max();
        if (claim.call && claim.call->deadline <= now)
            respond(claim, claim_verdict::unknown, next_actions);
        if (claim.stage_wake <= now)
        {
            claim.stage_wake = time_point::max();
            handle_wake(row_key, claim, now, next_actions);
        }
        schedule(row_key);
    }
    return next_actions;
}

time_point claim_registry::next_wake() const
{
    return wakes_.empty() ? time_point::max() : wakes_.begin()->first;
}

claim_registry::actions
claim_registry::owner_terminated(const std::string& process, time_point now)
{
    if (terminated_owners_.size() >= max_terminated_owners)
        terminated_owners_.erase(terminated_owners_.begin());
    terminated_owners_.insert(process);
    for (std::pair<const std::string, entry>& item : entries_)
    {
        entry& claim = item.second;
        if (claim.stage != entry_stage::observing ||
            claim.record.owner.process != process)
            continue;
        claim.stage_wake = now;
        schedule(item.first);
    }
    return tick(now);
}

claim_registry::actions claim_registry::begin_sweep(time_point)
{
    return {scan_claims{open_claim_prefix, "", limits_.sweep_page}};
}

claim_registry::actions
claim_registry::rows_scanned(const std::string& prefix,
                             const result<std::vector<table_row>>& rows,
                             time_point now)
{
    actions next_actions;
    if (!rows)
        return next_actions;
    const bool is_unresolved = prefix == unresolved_prefix;
    for (const table_row& row : rows.value())
    {
        const result<claim_record> observed = claim_record::parse(row.value);
        if (!observed || (is_unresolved && !observed.value().has_status_path))
            continue;
        const bool is_lost =
            is_unresolved ||
            terminated_owners_.count(observed.value().owner.process) != 0;
        observe(observed.value(),
                is_lost ? now : now + observed.value().owner_timeout);
    }
    if (rows.value().size() >= limits_.sweep_page)
    {
        next_actions.emplace_back(
            scan_claims{prefix, rows.value().back().key, limits_.sweep_page});
    }
    else if (!is_unresolved)
    {
        next_actions.emplace_back(
            scan_claims{unresolved_prefix, "", limits_.sweep_page});
    }
    return next_actions;
}

std::size_t claim_registry::calls_in_flight() const
{
    return calls_.size();
}

std::size_t claim_registry::observed_claims() const
{
    return entries_.size() - std::min(entries_.size(), calls_.size());
}

// ========================================================================
// Helper functions
// ========================================================================

void claim_registry::begin_stage(const std::string& row_key, entry& claim,
                                 entry_stage stage, time_point now,
                                 actions& next_actions)
{
    claim.stage = stage;
    claim.stage_wake = time_point::max();
    if (stage == entry_stage::reading)
        next_actions.emplace_back(read_claim{row_key});
    if (stage == entry_stage::querying_status)
        next_actions.emplace_back(
            query_call_status{row_key, claim.record.name});
    if (stage == entry_stage::recording)
        submit_record(row_key, claim, now, next_actions);
    if (stage == entry_stage::storing)
    {
        next_actions.emplace_back(store_body{row_key,
                                             claim.record.answer.body_object,
                                             claim.record.answer.body});
    }
}

void claim_registry::wait(entry& claim, entry_stage next, time_point until)
{
    claim.stage = entry_stage::waiting;
    claim.next_stage = next;
    claim.stage_wake = until;
}

void claim_registry::respond(entry& claim, claim_verdict verdict,
                             actions& next_actions)
{
    if (!claim.call || claim.is_answered)
        return;
    const bool can_try_again = verdict == claim_verdict::not_run ||
                               verdict == claim_verdict::in_progress ||
                               verdict == claim_verdict::unknown;
    call_response response;
    response.call_id = claim.call->call_id;
    response.verdict = verdict;
    if (verdict == claim_verdict::answered)
        response.answer = claim.record.answer;
    if (can_try_again)
        response.retry_after = limits_.retry_after;
    next_actions.emplace_back(std::move(response));
    claim.is_answered = true;
    // The call is needed after the response only while its own claim has to
    // be settled.
    if (!claim.is_own && claim.stage != entry_stage::claiming)
    {
        calls_.erase(claim.call->call_id);
        claim.call.reset();
    }
}

void claim_registry::emit_event(event_number number, const entry& claim,
                                actions& next_actions) const
{
    next_actions.emplace_back(
        claim_event{number, claim.record.name, claim.record.claim_id});
}

void claim_registry::handle_wake(const std::string& row_key, entry& claim,
                                 time_point now, actions& next_actions)
{
    if (claim.stage == entry_stage::observing)
        begin_stage(row_key, claim, entry_stage::reading, now, next_actions);
    else if (claim.stage == entry_stage::waiting)
        begin_stage(row_key, claim, claim.next_stage, now, next_actions);
}

void claim_registry::observe(const claim_record& observed, time_point limit)
{
    const std::string row_key = observed.name.row_key();
    if (observed_claims() >= limits_.max_observed_claims ||
        entries_.count(row_key) != 0)
        return;
    entry& claim = entries_[row_key];
    claim.stage = entry_stage::observing;
    claim.record = observed;
    claim.owner_deadline = limit;
    claim.stage_wake = limit;
    schedule(row_key);
}

claim_registry::entry* claim_registry::running_entry(const std::string& call_id)
{
    const auto row_key = calls_.find(call_id);
    if (row_key == calls_.end())
        return nullptr;
    entry& claim = entries_.at(row_key->second);
    return claim.stage == entry_stage::running ? &claim : nullptr;
}

update_claim claim_registry::make_update(const std::string& row_key,
                                         entry& claim,
                                         std::vector<row_write> index_writes)
{
    row_update update;
    update.id = process_ + "." + std::to_string(++last_update_);
    update.key = row_key;
    update.version = claim.version;
    update.previous = claim.value;
    update.value =
        row_stamp::successor(claim.value, update.id, claim.record.text());
    update.index_writes = std::move(index_writes);
    claim.value = update.value;
    updates_[update.id] = row_key;
    return {std::move(update)};
}

void claim_registry::schedule(const std::string& row_key)
{
    const auto position = entries_.find(row_key);
    if (position == entries_.end())
        return;
    entry& claim = position->second;
    time_point wake = claim.stage_wake;
    if (claim.call && !claim.is_answered)
        wake = std::min(wake, claim.call->deadline);
    if (wake == claim.registered_wake)
        return;
    wakes_.erase({claim.registered_wake, row_key});
    claim.registered_wake = wake;
    if (wake != time_point::max())
        wakes_.insert({wake, row_key});
}

void claim_registry::erase(const std::string& row_key)
{
    const auto position = entries_.find(row_key);
    if (position->second.call)
        calls_.erase(position->second.call->call_id);
    wakes_.erase({position->second.registered_wake, row_key});
    entries_.erase(position);
}

std::chrono::seconds claim_registry::wall_seconds(time_point now) const
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        now.time_since_epoch() + wall_offset_);
}

} // namespace hibiscusferry
