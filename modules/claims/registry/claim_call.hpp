#ifndef HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_CALL_HPP
#define HIBISCUSFERRY_CLAIMS_REGISTRY_CLAIM_CALL_HPP

#include "claims/batch/row_update.hpp"
#include "claims/record/claim_record.hpp"
#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace hibiscusferry
{

/** A caller's request that may be executed at most once. */
struct claim_call
{
    /** Unique across all processes; used as the id of the claim. */
    std::string call_id;
    claim_name name;
    /** sha256_hex() of method, path and body. */
    std::string body_digest;
    /** Time by which the caller must have received a response. */
    time_point deadline;
    /** Whether the service's document defines a status path for the call. */
    bool has_status_path = false;
};

/** The result reported to a caller. */
enum class claim_verdict
{
    answered,    ///< the target's response, either direct or replayed
    in_progress, ///< another call with the key is running; retry later
    unknown,     ///< may have run, or may still run; listed for operators if it
                 ///< may have run
    key_reused,  ///< not run: the key was used with a different body
    not_run,     ///< the call did not run and never will
    barred       ///< no call with the key ran or ever will; a new key is needed
};

/** The response sent to a caller; exactly one for each call. */
struct call_response
{
    std::string call_id;
    claim_verdict verdict = claim_verdict::unknown;
    /** Set if the verdict is claim_verdict::answered. */
    stored_response answer;
    /** Retry delay for the caller; zero if a retry cannot succeed. */
    std::chrono::milliseconds retry_after{0};
};

/** The claim is stored, so the call may be sent to a target. It must not be
    sent again once its first byte has been sent. */
struct start_call
{
    std::string call_id;
};

/** Requests that an update be committed; the outcome is reported with
    update_completed(). */
struct update_claim
{
    row_update update;
};

/** Requests that a claim's row be read; the result is reported with
    row_read(). */
struct read_claim
{
    std::string row_key;
};

/** Requests the status of a call from its target; the result is reported with
    call_status_received(). The user of the registry takes the status path from
    the service's document. */
struct query_call_status
{
    std::string row_key;
    claim_name name;
};

/** Requests that a body be written to the object store; the result is reported
    with body_stored(). */
struct store_body
{
    std::string row_key;
    std::string object_name;
    std::string bytes;
};

/** Requests a page of rows; the result is reported with rows_scanned(). */
struct scan_claims
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/** An event for the timeline. */
struct claim_event
{
    event_number number;
    claim_name name;
    std::string claim_id;
};

using claim_action =
    std::variant<call_response, start_call, update_claim, read_claim,
                 query_call_status, store_body, scan_claims, claim_event>;

/** The status that a target reports for a call, identified by its key. */
enum class call_status
{
    done,     ///< it ran; the response is included
    running,  ///< it has not completed
    absent,   ///< it did not run, and the target rejects its key from now on
    no_answer ///< the target could not be queried
};

/** Limits of a claim_registry. */
struct claim_limits
{
    /** Maximum number of this process's calls, and of other processes'
        claims, that are tracked at once. */
    std::size_t max_calls_in_flight = 1024;
    std::size_t max_observed_claims = 8192;
    /** Time after which an uncommitted claim is abandoned and its call
        refused. */
    std::chrono::milliseconds claim_timeout{2000};
    /** Time after a call's deadline until other processes consider its owner
        lost. */
    std::chrono::milliseconds owner_grace_period{5000};
    /** Maximum duration of a status query, which is repeated at
        status_poll_interval. */
    std::chrono::milliseconds status_timeout{10000};
    std::chrono::milliseconds status_poll_interval{500};
    /** Retry delay sent to callers. */
    std::chrono::milliseconds retry_after{1000};
    /** Number of rows in each page of a sweep. */
    std::size_t sweep_page = 100;
};

} // namespace hibiscusferry

#endif
