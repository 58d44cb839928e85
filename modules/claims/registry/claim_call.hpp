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

/** A call from a caller that may run at most once. */
struct claim_call
{
    /** Unique over all processes; becomes the claim's id. */
    std::string call_id;
    claim_name name;
    /** sha256_hex() of method, path and body. */
    std::string body_digest;
    /** When the caller must have its answer. */
    time_point deadline;
    /** Whether the service's document names a status path for the call. */
    bool has_status_path = false;
};

/** What a caller is told. */
enum class claim_verdict
{
    answered,    ///< the target's answer, fresh or stored
    in_progress, ///< another call with the key is being run; ask again
    unknown,     ///< the call may have run, or may yet; listed if it may have
    key_reused,  ///< the key was used with another body; not run
    not_run,     ///< this call did not run and never will
    barred       ///< no call with the key ran or ever will; use a new key
};

/** Tells a caller its answer; exactly one for each call. */
struct call_response
{
    std::string call_id;
    claim_verdict verdict = claim_verdict::unknown;
    /** Set when answered. */
    stored_response answer;
    /** When trying again can help; zero when it cannot. */
    std::chrono::milliseconds retry_after{0};
};

/** The claim is in the table: the call may be sent to a target now, and is
    never to be sent again after its first byte left. */
struct start_call
{
    std::string call_id;
};

/** Asks for an update to be committed; answered with update_completed(). */
struct update_claim
{
    row_update update;
};

/** Asks for a claim's row to be read; answered with row_read(). */
struct read_claim
{
    std::string row_key;
};

/** Asks the target what became of a call; answered with call_status_received().
    The caller of this class looks the status path up in the document. */
struct query_call_status
{
    std::string row_key;
    claim_name name;
};

/** Asks for a body to be written to the object store; answered with
    body_stored(). */
struct store_body
{
    std::string row_key;
    std::string object_name;
    std::string bytes;
};

/** Asks for a page of rows; answered with rows_scanned(). */
struct scan_claims
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/** An event for the time line. */
struct claim_event
{
    event_number number;
    claim_name name;
    std::string claim_id;
};

using claim_action =
    std::variant<call_response, start_call, update_claim, read_claim,
                 query_call_status, store_body, scan_claims, claim_event>;

/** What a target says of a call, by its key. */
enum class call_status
{
    done,     ///< it ran; the answer is given
    running,  ///< it is running
    absent,   ///< it did not run and is barred from running
    no_answer ///< the target could not be asked
};

/** Limits of a claim_registry. */
struct claim_limits
{
    /** Calls and claims of others known at once. */
    std::size_t max_calls_in_flight = 1024;
    std::size_t observed_claims = 8192;
    /** How long a claim is tried before the call is refused. */
    std::chrono::milliseconds claim_time{2000};
    /** Added to a call's deadline before others take its owner for lost. */
    std::chrono::milliseconds owner_grace{5000};
    /** How long a status look-up is repeated, and how often. */
    std::chrono::milliseconds status_time{10000};
    std::chrono::milliseconds status_interval{500};
    /** What a caller is told to wait before it asks again. */
    std::chrono::milliseconds retry_after{1000};
    /** Rows of a page in a sweep. */
    std::size_t sweep_page = 100;
};

} // namespace hibiscusferry

#endif
