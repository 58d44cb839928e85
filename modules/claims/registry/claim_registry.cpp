#include "claims/registry/claim_registry.hpp"

#include "claims/settled_write/row_stamp.hpp"
#include <algorithm>
#include <utility>

namespace hibiscusferry
{

namespace
{

/** Claims of one key that a call tries, after others gave theirs up. */
constexpr std::uint32_t most_claims_tried = 4;
/** Processes remembered as gone. */
constexpr std::size_t most_gone_owners = 4096;
/** Wait before a failed read or write to the store is repeated. */
constexpr std::chrono::milliseconds store_retry_wait{1000};

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
    actions wanted;
    const std::string row_key = call.name.row_key();
    const auto found = entries_.find(row_key);
    if (found == entries_.end() && calls_.size() >= limits_.max_calls_in_flight)
    {
        wanted.emplace_back(call_response{
            call.call_id, claim_verdict::not_run, {}, limits_.retry_after});
        return wanted;
    }
    if (found != entries_.end())
    {
        join(row_key, found->second, call, wanted);
    }
    else
    {
        entry& subject = entries_[row_key];
        subject.call = call;
        calls_[call.call_id] = row_key;
        submit_claim(row_key, subject, now, wanted);
    }
    schedule(row_key);
    return wanted;
}

claim_registry::actions
claim_registry::call_completed(const std::string& call_id,
                               const stored_response& answer, time_point now)
{
    actions wanted;
    entry* const subject = running_entry(call_id);
    if (subject == nullptr)
        return wanted;
    const std::string row_key = calls_.at(call_id);
    settle(row_key, *subject, answer, now, wanted);
    schedule(row_key);
    return wanted;
}

claim_registry::actions claim_registry::call_not_run(const std::string& call_id,
                                                     time_point now)
{
    actions wanted;
    entry* const subject = running_entry(call_id);
    if (subject == nullptr)
        return wanted;
    const std::string row_key = calls_.at(call_id);
    answer(*subject, claim_verdict::not_run, wanted);
    record(row_key, *subject, claim_state::released, now, wanted);
    schedule(row_key);
    return wanted;
}

claim_registry::actions
claim_registry::call_interrupted(const std::string& call_id, time_point now)
{
    actions wanted;
    entry* const subject = running_entry(call_id);
    if (subject == nullptr)
        return wanted;
    const std::string row_key = calls_.at(call_id);
    resolve(row_key, *subject, now, wanted);
    schedule(row_key);
    return wanted;
}

claim_registry::actions claim_registry::call_status_received(
    const std::string& row_key, call_status status,
    const stored_response& answer_found, time_point now)
{
    actions wanted;
    const auto found = entries_.find(row_key);
    if (found == entries_.end() ||
        found->second.stage != entry_stage::looking_up)
        return wanted;
    entry& subject = found->second;
    if (status == call_status::done)
    {
        notice(event_number::claim_settled_by_status, subject, wanted);
        settle(row_key, subject, answer_found, now, wanted);
    }
    else if (status == call_status::absent)
    {
        notice(event_number::claim_barred, subject, wanted);
        answer(subject, claim_verdict::barred, wanted);
        record(row_key, subject, claim_state::barred, now, wanted);
    }
    else if (now + limits_.status_interval < subject.status_limit)
    {
        wait(subject, entry_stage::looking_up, now + limits_.status_interval);
    }
    else
    {
        give_up_lookup(row_key, subject, now, wanted);
    }
    schedule(row_key);
    return wanted;
}

// ========================================================================
// Store
// ========================================================================

claim_registry::actions
claim_registry::update_completed(const update_outcome& outcome, time_point now)
{
    actions wanted;
    const auto update = updates_.find(outcome.id);
    if (update == updates_.end())
        return wanted;
    const std::string row_key = update->second;
    updates_.erase(update);
    entry& subject = entries_.at(row_key);
    if (subject.stage == entry_stage::claiming)
        claim_ended(row_key, subject, outcome, now, wanted);
    else
        record_ended(row_key, subject, outcome, now, wanted);
    schedule(row_key);
    return wanted;
}

claim_registry::actions claim_registry::row_read(const std::string& row_key,
                                                 const result<table_row>& row,
                                                 time_point now)
{
    actions wanted;
    const auto found = entries_.find(row_key);
    if (found == entries_.end() || found->second.stage != entry_stage::reading)
        return wanted;
    entry& subject = found->second;
    if (row)
    {
        row_found(row_key, subject, row.value(), now, wanted);
    }
    else if (row.error() == platform_error::not_found)
    {
        row_found(row_key, subject, {row_key, "", 0}, now, wanted);
    }
    else
    {
        answer(subject, claim_verdict::unknown, wanted);
        wait(subject, entry_stage::reading, now + store_retry_wait);
    }
    schedule(row_key);
    return wanted;
}

claim_registry::actions claim_registry::body_stored(const std::string& row_key,
                                                    const result<void>& stored,
                                                    time_point now)
{
    actions wanted;
    const auto found = entries_.find(row_key);
    if (found == entries_.end() || found->second.stage != entry_stage::storing)
        return wanted;
    entry& subject = found->second;
    const bool gives_up = now >= subject.status_limit;
    if (!stored && !gives_up)
    {
        wait(subject, entry_stage::storing, now + store_retry_wait);
    }
    else
    {
        if (!stored)
        {
            notice(event_number::claim_answer_not_kept, subject, wanted);
            subject.record.answer.is_body_kept = false;
            subject.record.answer.body_object.clear();
        }
        subject.record.answer.body.clear();
        record(row_key, subject, claim_state::settled, now, wanted);
    }
    schedule(row_key);
    return wanted;
}

// ========================================================================
// Time and other processes
// ========================================================================

claim_registry::actions claim_registry::tick(time_point now)
{
    actions wanted;
    while (!wakes_.empty() && wakes_.begin()->first <= now)
    {
        const std::string row_key = wakes_.begin()->second;
        wakes_.erase(wakes_.begin());
        entry& subject = entries_.at(row_key);
        subject.registered_wake = time_point::max();
        if (subject.call && subject.call->deadline <= now)
            answer(subject, claim_verdict::unknown, wanted);
        if (subject.stage_wake <= now)
        {
            subject.stage_wake = time_point::max();
            pass_wake(row_key, subject, now, wanted);
        }
        schedule(row_key);
    }
    return wanted;
}

time_point claim_registry::next_wake() const
{
    return wakes_.empty() ? time_point::max() : wakes_.begin()->first;
}

claim_registry::actions claim_registry::owner_gone(const std::string& process,
                                                   time_point now)
{
    if (gone_owners_.size() >= most_gone_owners)
        gone_owners_.erase(gone_owners_.begin());
    gone_owners_.insert(process);
    for (std::pair<const std::string, entry>& known : entries_)
    {
        entry& subject = known.second;
        if (subject.stage != entry_stage::observing ||
            subject.record.owner.process != process)
            continue;
        subject.stage_wake = now;
        schedule(known.first);
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
    actions wanted;
    if (!rows)
        return wanted;
    const bool is_unresolved = prefix == unresolved_prefix;
    for (const table_row& row : rows.value())
    {
        const result<claim_record> seen = claim_record::parse(row.value);
        if (!seen || (is_unresolved && !seen.value().has_status_path))
            continue;
        const bool is_lost =
            is_unresolved ||
            gone_owners_.count(seen.value().owner.process) != 0;
        observe(seen.value(), is_lost ? now : now + seen.value().time_limit);
    }
    if (rows.value().size() >= limits_.sweep_page)
    {
        wanted.emplace_back(
            scan_claims{prefix, rows.value().back().key, limits_.sweep_page});
    }
    else if (!is_unresolved)
    {
        wanted.emplace_back(
            scan_claims{unresolved_prefix, "", limits_.sweep_page});
    }
    return wanted;
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
// Common parts
// ========================================================================

void claim_registry::begin_stage(const std::string& row_key, entry& subject,
                                 entry_stage stage, time_point now,
                                 actions& wanted)
{
    subject.stage = stage;
    subject.stage_wake = time_point::max();
    if (stage == entry_stage::reading)
        wanted.emplace_back(read_claim{row_key});
    if (stage == entry_stage::looking_up)
        wanted.emplace_back(query_call_status{row_key, subject.record.name});
    if (stage == entry_stage::recording)
        submit_record(row_key, subject, now, wanted);
    if (stage == entry_stage::storing)
    {
        wanted.emplace_back(store_body{row_key,
                                       subject.record.answer.body_object,
                                       subject.record.answer.body});
    }
}

void claim_registry::wait(entry& subject, entry_stage next, time_point until)
{
    subject.stage = entry_stage::waiting;
    subject.next_stage = next;
    subject.stage_wake = until;
}

void claim_registry::answer(entry& subject, claim_verdict verdict,
                            actions& wanted)
{
    if (!subject.call || subject.is_answered)
        return;
    const bool can_try_again = verdict == claim_verdict::not_run ||
                               verdict == claim_verdict::in_progress ||
                               verdict == claim_verdict::unknown;
    call_response told;
    told.call_id = subject.call->call_id;
    told.verdict = verdict;
    if (verdict == claim_verdict::answered)
        told.answer = subject.record.answer;
    if (can_try_again)
        told.retry_after = limits_.retry_after;
    wanted.emplace_back(std::move(told));
    subject.is_answered = true;
    // Only a claim of this process is still to be settled for the call.
    if (!subject.is_own && subject.stage != entry_stage::claiming)
    {
        calls_.erase(subject.call->call_id);
        subject.call.reset();
    }
}

void claim_registry::notice(event_number number, const entry& subject,
                            actions& wanted) const
{
    wanted.emplace_back(
        claim_event{number, subject.record.name, subject.record.claim_id});
}

void claim_registry::pass_wake(const std::string& row_key, entry& subject,
                               time_point now, actions& wanted)
{
    if (subject.stage == entry_stage::observing)
        begin_stage(row_key, subject, entry_stage::reading, now, wanted);
    else if (subject.stage == entry_stage::waiting)
        begin_stage(row_key, subject, subject.next_stage, now, wanted);
}

void claim_registry::observe(const claim_record& seen, time_point limit)
{
    const std::string row_key = seen.name.row_key();
    if (observed_claims() >= limits_.observed_claims ||
        entries_.count(row_key) != 0)
        return;
    entry& subject = entries_[row_key];
    subject.stage = entry_stage::observing;
    subject.record = seen;
    subject.owner_limit = limit;
    subject.stage_wake = limit;
    schedule(row_key);
}

claim_registry::entry* claim_registry::running_entry(const std::string& call_id)
{
    const auto row_key = calls_.find(call_id);
    if (row_key == calls_.end())
        return nullptr;
    entry& subject = entries_.at(row_key->second);
    return subject.stage == entry_stage::running ? &subject : nullptr;
}

update_claim claim_registry::make_update(const std::string& row_key,
                                         entry& subject,
                                         std::vector<row_write> index_writes)
{
    row_update update;
    update.id = process_ + "." + std::to_string(++last_update_);
    update.key = row_key;
    update.version = subject.version;
    update.previous = subject.value;
    update.value =
        row_stamp::successor(subject.value, update.id, subject.record.text());
    update.index_writes = std::move(index_writes);
    subject.value = update.value;
    updates_[update.id] = row_key;
    return {std::move(update)};
}

void claim_registry::schedule(const std::string& row_key)
{
    const auto found = entries_.find(row_key);
    if (found == entries_.end())
        return;
    entry& subject = found->second;
    time_point wake = subject.stage_wake;
    if (subject.call && !subject.is_answered)
        wake = std::min(wake, subject.call->deadline);
    if (wake == subject.registered_wake)
        return;
    wakes_.erase({subject.registered_wake, row_key});
    subject.registered_wake = wake;
    if (wake != time_point::max())
        wakes_.insert({wake, row_key});
}

void claim_registry::erase(const std::string& row_key)
{
    const auto found = entries_.find(row_key);
    if (found->second.call)
        calls_.erase(found->second.call->call_id);
    wakes_.erase({found->second.registered_wake, row_key});
    entries_.erase(found);
}

std::chrono::seconds claim_registry::wall_seconds(time_point now) const
{
    return std::chrono::duration_cast<std::chrono::seconds>(
        now.time_since_epoch() + wall_offset_);
}

} // namespace hibiscusferry
