#include "routing/choice/routing_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class routing_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "routing";
    }

    std::string message(int code) const override
    {
        switch (static_cast<routing_error>(code))
        {
        case routing_error::no_target:
            return "no known target can serve the request";
        case routing_error::targets_full:
            return "all suitable targets are at their concurrency limit";
        case routing_error::not_permitted:
            return "sending new work to the suitable targets is not permitted";
        }
        return "unknown routing error";
    }
};

} // namespace

const std::error_category& routing_error_category()
{
    static const routing_category category;
    return category;
}

std::error_code make_error_code(routing_error error)
{
    return {static_cast<int>(error), routing_error_category()};
}

} // namespace hibiscusferry
