#ifndef HIBISCUSFERRY_CLAIMS_RECORD_CLAIM_RECORD_HPP
#define HIBISCUSFERRY_CLAIMS_RECORD_CLAIM_RECORD_HPP

#include "claims/errors/claims_error.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Which call a claim is for. */
struct claim_name
{
    std::string service;
    std::string workspace;
    /** The caller's idempotency key; any text. */
    std::string idempotency_key;

    /** The key of the claim's row: claims/SERVICE/CUSTOMER/KEY, each part
        percent-encoded. */
    std::string row_key() const;
};

/** Prefix of the claims' rows. */
constexpr const char* claim_prefix = "claims/";
/** Prefix of the rows that list claims without an outcome, by owner; the
    value's payload is the key of the claim's row. */
constexpr const char* open_claim_prefix = "open_claims/";
/** Prefix of the rows that list outcomes unknown, for operators; the
    payload is the claim's record. */
constexpr const char* unresolved_prefix = "unresolved/";

/** What is known of a claimed call. */
enum class claim_state
{
    claimed,  ///< its owner may run it, is running it, or died doing so
    settled,  ///< it ran; the answer is stored
    unknown,  ///< it may have run; listed for operators
    released, ///< it did not run; the key may be claimed again
    barred    ///< it did not run, and the target bars the key from running
};

/** One header of a stored answer. */
struct response_header
{
    std::string name;
    std::string value;
};

/** A target's whole answer, as kept for replay. */
struct stored_response
{
    /** Bodies up to this many bytes are kept in the row, larger ones in the
        object store. */
    static constexpr std::size_t inline_body_limit = 16U << 10;

    int status = 0;
    std::vector<response_header> headers;
    std::string body;
    /** Name of the object that holds the body; empty when it is inline. */
    std::string body_object;
    /** False when the body could not be stored; the call did run. */
    bool is_body_kept = true;
};

/** The process that claimed a call. */
struct claim_owner
{
    /** Unique over time: a restarted process has another one. */
    std::string process;
};

/** The payload of a claim's row. */
struct claim_record
{
    claim_state state = claim_state::claimed;
    claim_name name;
    std::string body_digest;
    /** Unique id of the call that claimed the key. */
    std::string claim_id;
    claim_owner owner;
    /** How long after the claim the owner may at most be busy with the
        call. Others count it on their own clock from when they first see
        the claim. */
    std::chrono::milliseconds time_limit{0};
    /** Whether the target tells the outcome of a call by its key. */
    bool has_status_path = false;
    /** Wall-clock time of the state's beginning, in seconds since the epoch;
        for operators and for retention. */
    std::chrono::seconds since{0};
    /** Set when settled. */
    stored_response answer;

    /** JSON text. */
    std::string text() const;

    /** Reads what text() wrote; claims_error::bad_record otherwise. */
    static result<claim_record> parse(const std::string& text);

    /** Key of the row that lists the claim while it has no outcome. */
    std::string open_claim_key() const;

    /** Key of the row that lists the claim while its outcome is unknown. */
    std::string unresolved_key() const;
};

/** Percent-encodes all but letters, digits, '-', '_' and '.'. */
std::string encode_key_part(const std::string& text);

} // namespace hibiscusferry

#endif
