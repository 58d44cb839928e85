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

/** Identifies the call that a claim is for. */
struct claim_name
{
    std::string service;
    std::string workspace;
    /** The caller's idempotency key, which may be any text. */
    std::string idempotency_key;

    /** @returns the key of the claim's row: claims/SERVICE/CUSTOMER/KEY, with
                 each part percent-encoded */
    std::string row_key() const;
};

/** Key prefix of the rows that hold claims. */
constexpr const char* claim_prefix = "claims/";
/** Key prefix of the rows that index claims without an outcome by owner. The
    payload of such a row is the key of the claim's row. */
constexpr const char* open_claim_prefix = "open_claims/";
/** Key prefix of the rows that list claims with an unknown outcome for
    operators. The payload of such a row is the claim's record. */
constexpr const char* unresolved_prefix = "unresolved/";

/** State of a claimed call. */
enum class claim_state
{
    claimed,  ///< the owner may start it, is running it, or failed meanwhile
    settled,  ///< it ran, and its response is stored
    unknown,  ///< it may have run; it is listed for operators
    released, ///< it did not run, and the key may be claimed again
    barred    ///< it did not run, and the target rejects the key from now on
};

/** One header of a stored response. */
struct response_header
{
    std::string name;
    std::string value;
};

/** A target's complete response, stored for replay. */
struct stored_response
{
    /** Bodies of up to this many bytes are stored in the row, larger ones in
        the object store. */
    static constexpr std::size_t inline_body_limit = 16U << 10;

    int status = 0;
    std::vector<response_header> headers;
    std::string body;
    /** Name of the object that holds the body; empty if it is inline. */
    std::string body_object;
    /** False if the call ran but its body could not be stored. */
    bool is_body_kept = true;
};

/** The process that claimed a call. */
struct claim_owner
{
    /** Id of one incarnation: a restarted process has a different one. */
    std::string process;
};

/** The payload of a claim's row, serialized as JSON. */
struct claim_record
{
    claim_state state = claim_state::claimed;
    claim_name name;
    std::string body_digest;
    /** Unique id of the call that claimed the key. */
    std::string claim_id;
    claim_owner owner;
    /** Maximum time after the claim for which the owner may process the
        call. Other processes measure it on their own clocks, starting when
        they first observe the claim. */
    std::chrono::milliseconds owner_timeout{0};
    /** Whether the target reports the outcome of a call by its key. */
    bool has_status_path = false;
    /** Wall-clock time at which the state was entered, in seconds since the
        epoch. It is shown to operators and determines retention. */
    std::chrono::seconds since{0};
    /** Set if the state is claim_state::settled. */
    stored_response answer;

    /** @returns the record as JSON text */
    std::string text() const;

    /** Parses the output of text().
        @returns claims_error::bad_record if the text is malformed */
    static result<claim_record> parse(const std::string& text);

    /** @returns the key of the row that lists the claim while it has no
                 outcome */
    std::string open_claim_key() const;

    /** @returns the key of the row that lists the claim while its outcome is
                 unknown */
    std::string unresolved_key() const;
};

/** Percent-encodes all characters except letters, digits, '-', '_' and '.'.
 */
std::string encode_key_part(const std::string& text);

} // namespace hibiscusferry

#endif
