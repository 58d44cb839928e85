#include "gateway/protocol/caller_protocol.hpp"

#include <array>

namespace hibiscusferry
{

std::string_view to_text(refusal_cause reason)
{
    constexpr std::array<std::string_view, 18> names{"no_configuration",
                                                     "no_route",
                                                     "bad_request",
                                                     "no_target",
                                                     "overloaded",
                                                     "target_refused",
                                                     "out_of_time",
                                                     "outcome_unknown",
                                                     "no_answer_in_time",
                                                     "stopping",
                                                     "unknown_stream_version",
                                                     "host_overloaded",
                                                     "prompt_suspected",
                                                     "target_limit",
                                                     "request_suspected",
                                                     "unknown_credentials",
                                                     "credentials_unverified",
                                                     "configuration_outdated"};
    return names[static_cast<std::size_t>(reason)];
}

} // namespace hibiscusferry
