#include "claims/registry/claim_expiry.hpp"
#include "claims/registry/claim_registry.hpp"
#include "claims/settled_write/row_stamp.hpp"
#include <algorithm>
#include <utility>

// The parts of claim_registry that speak with the table: claiming a key,
// reading what a row says, and recording an outcome.

namespace hibiscusferry
{

namespace
{

/** Whether a claim in state `present` may be recorded as `wanted`. That a
    call ran is evidence against all else; that it did not run is evidence
    against not knowing. */
bool overrides(claim_state wanted, claim_state present)
{
    if (wanted == present)
        return false;
    if (wanted == claim_state::settled)
        return true;
    if (wanted == claim_state::unknown)
        return present == claim_state::claimed;
    return present == claim_state::claimed || present == claim_state::unknown;
}

std::vector<row_write> index_writes_of(const claim_record& record)
{
    const std::string row_key = record.name.row_key();
    std::vector<row_write> writes;
    const bool is_claimed = record.state == claim_state::claimed;
    const bool is_unknown = record.state == claim_state::unknown;
    const std::string text =
        is_claimed || is_unknown ? record.text() : std::string();
    const auto listed = [&text](bool is_listed)
    {
        return is_listed ? std::optional<std::string>(text) : std::nullopt;
    };
    writes.push_back({record.open_claim_key(), listed(is_claimed)});
    if (!is_claimed)
        writes.push_back({record.unresolved_key(), listed(is_unknown)});
    if (!is_claimed && !is_unknown)
        writes.push_back({expiry_key(record.since, row_key), ""});
    return writes;
}

} // namespace

// ========================================================================
// Claiming
// ========================================================================

void claim_registry::submit_claim(const std::string& row_key, entry& subject,
                                  time_point now, actions& wanted)
{
    const claim_call& call = *subject.call;
    // The last quarter of the caller's time is for settling.
    const time_point abandon_at =
        std::min(now + limits_.claim_time, now + (call.deadline - now) * 3 / 4);
    const bool is_late = call.deadline <= now;
    if (is_late || ++subject.claims_tried > most_claims_tried)
    {
        subject.is_own = false;
        subject.stage = entry_stage::reading;
        answer(subject, claim_verdict::not_run, wanted);
        erase(row_key);
        return;
    }
    subject.stage = entry_stage::claiming;
    subject.stage_wake = time_point::max();
    subject.record = claim_record();
    subject.record.name = call.name;
    subject.record.body_digest = call.body_digest;
    subject.record.claim_id = call.call_id;
    subject.record.owner.process = process_;
    subject.record.time_limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                              now) +
        limits_.owner_grace;
    subject.record.has_status_path = call.has_status_path;
    subject.record.since = wall_seconds(now);
    update_claim update =
        make_update(row_key, subject, index_writes_of(subject.record));
    update.update.abandon_at = abandon_at;
    wanted.emplace_back(std::move(update));
}

void claim_registry::claim_ended(const std::string& row_key, entry& subject,
                                 const update_outcome& outcome, time_point now,
                                 actions& wanted)
{
    switch (outcome.result)
    {
    case update_result::committed:
        subject.version = outcome.version;
        claim_committed(row_key, subject, now, wanted);
        return;
    case update_result::conflicted:
        row_found(row_key, subject, outcome.present, now, wanted);
        return;
    case update_result::not_written:
        notice(event_number::claim_not_written, subject, wanted);
        answer(subject, claim_verdict::not_run, wanted);
        erase(row_key);
        return;
    }
}

void claim_registry::claim_committed(const std::string& row_key, entry& subject,
                                     time_point now, actions& wanted)
{
    subject.is_own = true;
    if (subject.is_answered || now >= subject.call->deadline)
    {
        answer(subject, claim_verdict::not_run, wanted);
        record(row_key, subject, claim_state::released, now, wanted);
        return;
    }
    subject.stage = entry_stage::running;
    wanted.emplace_back(start_call{subject.call->call_id});
}

void claim_registry::join(const std::string& row_key, entry& subject,
                          const claim_call& call, actions& wanted)
{
    call_response told{
        call.call_id, claim_verdict::in_progress, {}, limits_.retry_after};
    if (subject.record.body_digest != call.body_digest)
    {
        told.verdict = claim_verdict::key_reused;
        told.retry_after = std::chrono::milliseconds(0);
        wanted.emplace_back(std::move(told));
        return;
    }
    const bool is_outcome_known = subject.stage == entry_stage::storing ||
                                  subject.stage == entry_stage::recording;
    if (subject.call && !is_outcome_known)
    {
        wanted.emplace_back(std::move(told));
        return;
    }
    if (is_outcome_known)
    {
        entry asked;
        asked.stage = subject.stage;
        asked.record = subject.record;
        asked.call = call;
        answer_from_record(asked, wanted);
        return;
    }
    subject.call = call;
    subject.is_answered = false;
    calls_[call.call_id] = row_key;
    if (subject.stage == entry_stage::observing)
    {
        subject.stage = entry_stage::reading;
        subject.stage_wake = time_point::max();
        wanted.emplace_back(read_claim{row_key});
    }
}

void claim_registry::answer_from_record(entry& subject, actions& wanted)
{
    switch (subject.record.state)
    {
    case claim_state::settled:
        answer(subject, claim_verdict::answered, wanted);
        return;
    case claim_state::unknown:
        answer(subject, claim_verdict::unknown, wanted);
        return;
    case claim_state::barred:
        answer(subject, claim_verdict::barred, wanted);
        return;
    case claim_state::claimed:
    case claim_state::released:
        answer(subject, claim_verdict::in_progress, wanted);
        return;
    }
}

// ========================================================================
// What a row says
// ========================================================================

void claim_registry::row_found(const std::string& row_key, entry& subject,
                               const table_row& row, time_point now,
                               actions& wanted)
{
    subject.version.reset();
    if (row.version != 0)
        subject.version = row.version;
    subject.value = row.value;
    const std::string payload = row_stamp::parse(row.value).payload;
    const bool is_waiting = subject.call && !subject.is_answered;
    if (payload.empty())
    {
        if (is_waiting)
            submit_claim(row_key, subject, now, wanted);
        else
            erase(row_key);
        return;
    }
    const result<claim_record> found = claim_record::parse(payload);
    if (!found)
    {
        notice(event_number::claim_record_unreadable, subject, wanted);
        answer(subject, claim_verdict::unknown, wanted);
        erase(row_key);
        return;
    }
    if (found.value().claim_id != subject.record.claim_id)
        subject.owner_limit = time_point::max();
    subject.record = found.value();
    record_found(row_key, subject, now, wanted);
}

void claim_registry::record_found(const std::string& row_key, entry& subject,
                                  time_point now, actions& wanted)
{
    const claim_record& record_now = subject.record;
    if (subject.call && record_now.claim_id == subject.call->call_id)
    {
        own_record_found(row_key, subject, now, wanted);
        return;
    }
    subject.stage = entry_stage::reading;
    if (subject.call && record_now.body_digest != subject.call->body_digest)
    {
        notice(event_number::claim_key_reused, subject, wanted);
        answer(subject, claim_verdict::key_reused, wanted);
    }
    const bool is_waiting = subject.call && !subject.is_answered;
    switch (record_now.state)
    {
    case claim_state::claimed:
        claimed_found(row_key, subject, now, wanted);
        return;
    case claim_state::unknown:
        resolve(row_key, subject, now, wanted);
        return;
    case claim_state::released:
        if (is_waiting)
        {
            submit_claim(row_key, subject, now, wanted);
            return;
        }
        break;
    case claim_state::settled:
    case claim_state::barred:
        answer_from_record(subject, wanted);
        break;
    }
    erase(row_key);
}

void claim_registry::own_record_found(const std::string& row_key,
                                      entry& subject, time_point now,
                                      actions& wanted)
{
    if (subject.record.state == claim_state::claimed)
    {
        claim_committed(row_key, subject, now, wanted);
        return;
    }
    // Others took this process for lost before it began the call.
    subject.is_own = true;
    answer(subject, claim_verdict::not_run, wanted);
    if (subject.record.state == claim_state::unknown)
        record(row_key, subject, claim_state::released, now, wanted);
    else
        erase(row_key);
}

void claim_registry::claimed_found(const std::string& row_key, entry& subject,
                                   time_point now, actions& wanted)
{
    if (subject.owner_limit == time_point::max())
        subject.owner_limit = now + subject.record.time_limit;
    const bool is_lost =
        subject.record.owner.process == process_ ||
        gone_owners_.count(subject.record.owner.process) != 0 ||
        now >= subject.owner_limit;
    if (is_lost)
    {
        notice(event_number::claim_owner_lost, subject, wanted);
        resolve(row_key, subject, now, wanted);
        return;
    }
    answer(subject, claim_verdict::in_progress, wanted);
    if (subject.call)
    {
        // Answered while its own claim was being tried.
        calls_.erase(subject.call->call_id);
        subject.call.reset();
    }
    if (observed_claims() > limits_.observed_claims)
    {
        erase(row_key);
        return;
    }
    subject.stage = entry_stage::observing;
    subject.stage_wake = subject.owner_limit;
}

void claim_registry::resolve(const std::string& row_key, entry& subject,
                             time_point now, actions& wanted)
{
    if (subject.record.has_status_path)
    {
        subject.status_limit = now + limits_.status_time;
        begin_stage(row_key, subject, entry_stage::looking_up, now, wanted);
        return;
    }
    give_up_lookup(row_key, subject, now, wanted);
}

void claim_registry::give_up_lookup(const std::string& row_key, entry& subject,
                                    time_point now, actions& wanted)
{
    answer(subject, claim_verdict::unknown, wanted);
    if (subject.record.state != claim_state::claimed)
    {
        erase(row_key);
        return;
    }
    notice(event_number::claim_outcome_unknown, subject, wanted);
    record(row_key, subject, claim_state::unknown, now, wanted);
}

// ========================================================================
// Recording an outcome
// ========================================================================

void claim_registry::settle(const std::string& row_key, entry& subject,
                            const stored_response& answer_found, time_point now,
                            actions& wanted)
{
    subject.record.state = claim_state::settled;
    subject.record.answer = answer_found;
    answer(subject, claim_verdict::answered, wanted);
    if (answer_found.body.size() <= stored_response::inline_body_limit)
    {
        record(row_key, subject, claim_state::settled, now, wanted);
        return;
    }
    subject.record.answer.body_object =
        "answers/" + encode_key_part(subject.record.claim_id);
    subject.status_limit = now + limits_.status_time;
    begin_stage(row_key, subject, entry_stage::storing, now, wanted);
}

void claim_registry::record(const std::string& row_key, entry& subject,
                            claim_state state, time_point now, actions& wanted)
{
    subject.record.state = state;
    subject.record.since = wall_seconds(now);
    begin_stage(row_key, subject, entry_stage::recording, now, wanted);
}

void claim_registry::submit_record(const std::string& row_key, entry& subject,
                                   time_point, actions& wanted)
{
    wanted.emplace_back(
        make_update(row_key, subject, index_writes_of(subject.record)));
}

void claim_registry::record_ended(const std::string& row_key, entry& subject,
                                  const update_outcome& outcome, time_point now,
                                  actions& wanted)
{
    switch (outcome.result)
    {
    case update_result::committed:
        erase(row_key);
        return;
    case update_result::conflicted:
        record_conflicted(row_key, subject, outcome.present, now, wanted);
        return;
    case update_result::not_written:
        wait(subject, entry_stage::recording, now + store_retry_wait);
        return;
    }
}

void claim_registry::record_conflicted(const std::string& row_key,
                                       entry& subject, const table_row& present,
                                       time_point now, actions& wanted)
{
    const claim_state state = subject.record.state;
    const row_stamp stamp = row_stamp::parse(present.value);
    bool writes_again = true;
    if (!stamp.payload.empty())
    {
        const result<claim_record> found = claim_record::parse(stamp.payload);
        const bool is_same_claim =
            found && found.value().claim_id == subject.record.claim_id;
        writes_again = is_same_claim && overrides(state, found.value().state);
        const bool is_refuted =
            found && (found.value().state == claim_state::released ||
                      found.value().state == claim_state::barred);
        if (state == claim_state::settled && (!is_same_claim || is_refuted))
            notice(event_number::claim_contradicted, subject, wanted);
    }
    if (!writes_again)
    {
        erase(row_key);
        return;
    }
    subject.version.reset();
    if (present.version != 0)
        subject.version = present.version;
    subject.value = present.value;
    begin_stage(row_key, subject, entry_stage::recording, now, wanted);
}

} // namespace hibiscusferry
