#ifndef HIBISCUSFERRY_ROUTING_CHOICE_ROUTING_ERROR_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_ROUTING_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of the routing module. */
enum class routing_error
{
    no_target = 1, ///< no known target can serve the request
    targets_full, ///< all suitable targets are at their concurrency limit; wait
                  ///< in the queue
    not_permitted ///< new work may not be sent to any of the suitable targets
};

const std::error_category& routing_error_category();
std::error_code make_error_code(routing_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::routing_error> : std::true_type
{
};

#endif
