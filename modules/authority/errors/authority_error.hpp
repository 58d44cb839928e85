#ifndef HIBISCUSFERRY_AUTHORITY_ERRORS_AUTHORITY_ERROR_HPP
#define HIBISCUSFERRY_AUTHORITY_ERRORS_AUTHORITY_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Why an order is not accepted, or a row not read. */
enum class authority_error
{
    /** The value of a row is not what this module writes. */
    bad_row = 1,
    /** The rows of the former holder have not all been read yet. */
    not_ready,
    /** The target has not confirmed the new fencing number. */
    fence_not_raised,
    /** Another order for the target is not settled. */
    order_outstanding,
    /** A former sender may still send the target's last order. */
    former_sender_may_send,
    /** As many engines are away as the document allows. */
    too_many_unavailable,
    /** The weight store's rate is used up, or the load is backed off. */
    paced,
    /** There is no such order. */
    no_order,
    /** The order may have been sent and can no longer be withdrawn. */
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
