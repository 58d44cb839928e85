#include "roles/model/role_change.hpp"

namespace hibiscusferry
{

std::string_view to_text(change_reason reason)
{
    switch (reason)
    {
    case change_reason::regret:
        return "regret";
    case change_reason::forecast:
        return "forecast";
    case change_reason::min_mixed_engines:
        break;
    }
    return "least_mixed";
}

} // namespace hibiscusferry
