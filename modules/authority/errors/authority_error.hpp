#ifndef HIBISCUSFERRY_AUTHORITY_ERRORS_AUTHORITY_ERROR_HPP
#define HIBISCUSFERRY_AUTHORITY_ERRORS_AUTHORITY_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Reasons for rejecting an order or failing to parse a row. */
enum class authority_error
{
    /** The row's value does not have the format that this module writes. */
    bad_row = 1,
    /** The rows written by the previous lease holder have not all been read
        yet. */
    not_ready,
    /** The target has not confirmed the new fencing number. */
    fence_not_raised,
    /** Another order for the target has not been settled. */
    order_outstanding,
    /** A former lease holder may still send the target's previous order. */
    former_sender_may_send,
    /** The document's limit on simultaneously unavailable engines is
        reached. */
    too_many_unavailable,
    /** The weight store's rate limit is reached, or the load is backing off
        after a failure. */
    paced,
    /** The target has no unsettled order. */
    no_order,
    /** The order may already have been sent and can no longer be withdrawn. */
    already_sent
};

const std::error_category& authority_error_category();
std::error_code make_error_code(authority_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::authority_error> : std::true_type
{
};

#endif
