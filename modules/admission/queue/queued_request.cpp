#include "admission/queue/queued_request.hpp"

namespace hibiscusferry
{

std::string_view to_text(refusal_reason reason)
{
    static constexpr std::string_view names[] = {
        "queue_full", "too_late",  "deadline_passed",
        "over_limit", "no_target", "draining"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace hibiscusferry
