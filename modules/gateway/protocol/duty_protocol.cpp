#include "gateway/protocol/duty_protocol.hpp"

#include <array>

namespace hibiscusferry
{

std::string_view to_text(duty_result outcome)
{
    constexpr std::array<std::string_view, 4> names{"accepted", "unavailable",
                                                    "busy", "rejected"};
    return names[static_cast<std::size_t>(outcome)];
}

} // namespace hibiscusferry
