#include "claims/registry/claim_expiry.hpp"
#include "claims/registry/claim_registry.hpp"
#include "claims/settled_write/row_stamp.hpp"
#include <algorithm>
#include <utility>

// The parts of claim_registry that use the table service: claiming keys,
// processing rows and recording outcomes.

namespace hibiscusferry
{

namespace
{

/** @returns whether `new_state` may replace `current_state`. Evidence that a
             call ran overrides every other state; evidence that it did not run
             overrides an unknown outcome. */
bool overrides(claim_state new_state, claim_state current_state)
{
    if (new_state == current_state)
        return false;
    if (new_state == claim_state::settled)
        return true;
    if (new_state == claim_state::unknown)
        return current_state == claim_state::claimed;
    return current_state == claim_state::claimed ||
           current_state == claim_state::unknown;
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

void claim_registry::submit_claim(const std::string& row_key, entry& claim,
                                  time_point now, actions& next_actions)
{
    const claim_call& call = *claim.call;
    // The last quarter of the time until the deadline is reserved for
    // determining the outcome of the claim.
    const time_point abandon_at = std::min(now + limits_.claim_timeout,
                                           now + (call.deadline - now) * 3 / 4);
    const bool is_past_deadline = call.deadline <= now;
    if (is_past_deadline || ++claim.claim_attempts > max_claim_attempts)
    {
        claim.is_own = false;
        claim.stage = entry_stage::reading;
        respond(claim, claim_verdict::not_run, next_actions);
        erase(row_key);
        return;
    }
    claim.stage = entry_stage::claiming;
    claim.stage_wake = time_point::max();
    claim.record = claim_record();
    claim.record.name = call.name;
    claim.record.body_digest = call.body_digest;
    claim.record.claim_id = call.call_id;
    claim.record.owner.process = process_;
    claim.record.owner_timeout =
        std::chrono::duration_cast<std::chrono::milliseconds>(call.deadline -
                                                              now) +
        limits_.owner_grace_period;
    claim.record.has_status_path = call.has_status_path;
    claim.record.since = wall_seconds(now);
    update_claim update =
        make_update(row_key, claim, index_writes_of(claim.record));
    update.update.abandon_at = abandon_at;
    next_actions.emplace_back(std::move(update));
}

void claim_registry::claim_update_completed(const std::string& row_key,
                                            entry& claim,
                                            const update_outcome& outcome,
                                            time_point now,
                                            actions& next_actions)
{
    switch (outcome.result)
    {
    case update_result::committed:
        claim.version = outcome.version;
        claim_committed(row_key, claim, now, next_actions);
        return;
    case update_result::conflicted:
        process_row(row_key, claim, outcome.present, now, next_actions);
        return;
    case update_result::not_written:
        emit_event(event_number::claim_not_written, claim, next_actions);
        respond(claim, claim_verdict::not_run, next_actions);
        erase(row_key);
        return;
    }
}

void claim_registry::claim_committed(const std::string& row_key, entry& claim,
                                     time_point now, actions& next_actions)
{
    claim.is_own = true;
    if (claim.is_answered || now >= claim.call->deadline)
    {
        respond(claim, claim_verdict::not_run, next_actions);
        record(row_key, claim, claim_state::released, now, next_actions);
        return;
    }
    claim.stage = entry_stage::running;
    next_actions.emplace_back(start_call{claim.call->call_id});
}

void claim_registry::join(const std::string& row_key, entry& claim,
                          const claim_call& call, actions& next_actions)
{
    call_response response{
        call.call_id, claim_verdict::in_progress, {}, limits_.retry_after};
    if (claim.record.body_digest != call.body_digest)
    {
        response.verdict = claim_verdict::key_reused;
        response.retry_after = std::chrono::milliseconds(0);
        next_actions.emplace_back(std::move(response));
        return;
    }
    const bool is_outcome_known = claim.stage == entry_stage::storing ||
                                  claim.stage == entry_stage::recording;
    if (claim.call && !is_outcome_known)
    {
        next_actions.emplace_back(std::move(response));
        return;
    }
    if (is_outcome_known)
    {
        entry recorded;
        recorded.stage = claim.stage;
        recorded.record = claim.record;
        recorded.call = call;
        respond_from_record(recorded, next_actions);
        return;
    }
    claim.call = call;
    claim.is_answered = false;
    calls_[call.call_id] = row_key;
    if (claim.stage == entry_stage::observing)
    {
        claim.stage = entry_stage::reading;
        claim.stage_wake = time_point::max();
        next_actions.emplace_back(read_claim{row_key});
    }
}

void claim_registry::respond_from_record(entry& claim, actions& next_actions)
{
    switch (claim.record.state)
    {
    case claim_state::settled:
        respond(claim, claim_verdict::answered, next_actions);
        return;
    case claim_state::unknown:
        respond(claim, claim_verdict::unknown, next_actions);
        return;
    case claim_state::barred:
        respond(claim, claim_verdict::barred, next_actions);
        return;
    case claim_state::claimed:
    case claim_state::released:
        respond(claim, claim_verdict::in_progress, next_actions);
        return;
    }
}

// ========================================================================
// Processing of rows
// ========================================================================

void claim_registry::process_row(const std::string& row_key, entry& claim,
                                 const table_row& row, time_point now,
                                 actions& next_actions)
{
    claim.version.reset();
    if (row.version != 0)
        claim.version = row.version;
    claim.value = row.value;
    const std::string payload = row_stamp::parse(row.value).payload;
    const bool is_caller_waiting = claim.call && !claim.is_answered;
    if (payload.empty())
    {
        if (is_caller_waiting)
            submit_claim(row_key, claim, now, next_actions);
        else
            erase(row_key);
        return;
    }
    const result<claim_record> parsed = claim_record::parse(payload);
    if (!parsed)
    {
        emit_event(event_number::claim_record_unreadable, claim, next_actions);
        respond(claim, claim_verdict::unknown, next_actions);
        erase(row_key);
        return;
    }
    if (parsed.value().claim_id != claim.record.claim_id)
        claim.owner_deadline = time_point::max();
    claim.record = parsed.value();
    process_record(row_key, claim, now, next_actions);
}

void claim_registry::process_record(const std::string& row_key, entry& claim,
                                    time_point now, actions& next_actions)
{
    const claim_record& current_record = claim.record;
    if (claim.call && current_record.claim_id == claim.call->call_id)
    {
        process_own_record(row_key, claim, now, next_actions);
        return;
    }
    claim.stage = entry_stage::reading;
    if (claim.call && current_record.body_digest != claim.call->body_digest)
    {
        emit_event(event_number::claim_key_reused, claim, next_actions);
        respond(claim, claim_verdict::key_reused, next_actions);
    }
    const bool is_caller_waiting = claim.call && !claim.is_answered;
    switch (current_record.state)
    {
    case claim_state::claimed:
        process_claimed_record(row_key, claim, now, next_actions);
        return;
    case claim_state::unknown:
        resolve(row_key, claim, now, next_actions);
        return;
    case claim_state::released:
        if (is_caller_waiting)
        {
            submit_claim(row_key, claim, now, next_actions);
            return;
        }
        break;
    case claim_state::settled:
    case claim_state::barred:
        respond_from_record(claim, next_actions);
        break;
    }
    erase(row_key);
}

void claim_registry::process_own_record(const std::string& row_key,
                                        entry& claim, time_point now,
                                        actions& next_actions)
{
    if (claim.record.state == claim_state::claimed)
    {
        claim_committed(row_key, claim, now, next_actions);
        return;
    }
    // Another process considered this one lost before it started the call.
    claim.is_own = true;
    respond(claim, claim_verdict::not_run, next_actions);
    if (claim.record.state == claim_state::unknown)
        record(row_key, claim, claim_state::released, now, next_actions);
    else
        erase(row_key);
}

void claim_registry::process_claimed_record(const std::string& row_key,
                                            entry& claim, time_point now,
                                            actions& next_actions)
{
    if (claim.owner_deadline == time_point::max())
        claim.owner_deadline = now + claim.record.owner_timeout;
    const bool is_lost =
        claim.record.owner.process == process_ ||
        terminated_owners_.count(claim.record.owner.process) != 0 ||
        now >= claim.owner_deadline;
    if (is_lost)
    {
        emit_event(event_number::claim_owner_lost, claim, next_actions);
        resolve(row_key, claim, now, next_actions);
        return;
    }
    respond(claim, claim_verdict::in_progress, next_actions);
    if (claim.call)
    {
        // The response was sent while the call's own claim was in flight.
        calls_.erase(claim.call->call_id);
        claim.call.reset();
    }
    if (observed_claims() > limits_.max_observed_claims)
    {
        erase(row_key);
        return;
    }
    claim.stage = entry_stage::observing;
    claim.stage_wake = claim.owner_deadline;
}

void claim_registry::resolve(const std::string& row_key, entry& claim,
                             time_point now, actions& next_actions)
{
    if (claim.record.has_status_path)
    {
        claim.status_deadline = now + limits_.status_timeout;
        begin_stage(row_key, claim, entry_stage::querying_status, now,
                    next_actions);
        return;
    }
    abandon_status_query(row_key, claim, now, next_actions);
}

void claim_registry::abandon_status_query(const std::string& row_key,
                                          entry& claim, time_point now,
                                          actions& next_actions)
{
    respond(claim, claim_verdict::unknown, next_actions);
    if (claim.record.state != claim_state::claimed)
    {
        erase(row_key);
        return;
    }
    emit_event(event_number::claim_outcome_unknown, claim, next_actions);
    record(row_key, claim, claim_state::unknown, now, next_actions);
}

// ========================================================================
// Recording of outcomes
// ========================================================================

void claim_registry::settle(const std::string& row_key, entry& claim,
                            const stored_response& response, time_point now,
                            actions& next_actions)
{
    claim.record.state = claim_state::settled;
    claim.record.answer = response;
    respond(claim, claim_verdict::answered, next_actions);
    if (response.body.size() <= stored_response::inline_body_limit)
    {
        record(row_key, claim, claim_state::settled, now, next_actions);
        return;
    }
    claim.record.answer.body_object =
        "answers/" + encode_key_part(claim.record.claim_id);
    claim.status_deadline = now + limits_.status_timeout;
    begin_stage(row_key, claim, entry_stage::storing, now, next_actions);
}

void claim_registry::record(const std::string& row_key, entry& claim,
                            claim_state state, time_point now,
                            actions& next_actions)
{
    claim.record.state = state;
    claim.record.since = wall_seconds(now);
    begin_stage(row_key, claim, entry_stage::recording, now, next_actions);
}

void claim_registry::submit_record(const std::string& row_key, entry& claim,
                                   time_point, actions& next_actions)
{
    next_actions.emplace_back(
        make_update(row_key, claim, index_writes_of(claim.record)));
}

void claim_registry::record_update_completed(const std::string& row_key,
                                             entry& claim,
                                             const update_outcome& outcome,
                                             time_point now,
                                             actions& next_actions)
{
    switch (outcome.result)
    {
    case update_result::committed:
        erase(row_key);
        return;
    case update_result::conflicted:
        record_conflicted(row_key, claim, outcome.present, now, next_actions);
        return;
    case update_result::not_written:
        wait(claim, entry_stage::recording, now + store_retry_backoff);
        return;
    }
}

void claim_registry::record_conflicted(const std::string& row_key, entry& claim,
                                       const table_row& present, time_point now,
                                       actions& next_actions)
{
    const claim_state state = claim.record.state;
    const row_stamp stamp = row_stamp::parse(present.value);
    bool writes_again = true;
    if (!stamp.payload.empty())
    {
        const result<claim_record> parsed = claim_record::parse(stamp.payload);
        const bool is_same_claim =
            parsed && parsed.value().claim_id == claim.record.claim_id;
        writes_again = is_same_claim && overrides(state, parsed.value().state);
        const bool is_refuted =
            parsed && (parsed.value().state == claim_state::released ||
                       parsed.value().state == claim_state::barred);
        if (state == claim_state::settled && (!is_same_claim || is_refuted))
            emit_event(event_number::claim_contradicted, claim, next_actions);
    }
    if (!writes_again)
    {
        erase(row_key);
        return;
    }
    claim.version.reset();
    if (present.version != 0)
        claim.version = present.version;
    claim.value = present.value;
    begin_stage(row_key, claim, entry_stage::recording, now, next_actions);
}

} // namespace hibiscusferry
