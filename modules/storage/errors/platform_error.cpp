#include "storage/errors/platform_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class platform_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "platform";
    }

    std::string message(int code) const override
    {
        switch (static_cast<platform_error>(code))
        {
        case platform_error::not_sent:
            return "the request was not sent to the platform";
        case platform_error::outcome_unknown:
            return "no response from the platform; the outcome is unknown";
        case platform_error::refused:
            return "the platform refused the call";
        case platform_error::bad_response:
            return "malformed response from the platform";
        case platform_error::not_found:
            return "no such row or object";
        case platform_error::history_expired:
            return "the requested changes are no longer retained";
        }
        return "unknown platform error";
    }
};

} // namespace

const std::error_category& platform_error_category()
{
    static const platform_category category;
    return category;
}

std::error_code make_error_code(platform_error error)
{
    return {static_cast<int>(error), platform_error_category()};
}

} // namespace hibiscusferry
