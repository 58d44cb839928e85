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
            return "nothing was sent to the platform";
        case platform_error::outcome_unknown:
            return "no answer from the platform; the outcome is unknown";
        case platform_error::refused:
            return "the platform refused the call";
        case platform_error::bad_response:
            return "the platform's answer could not be read";
        case platform_error::not_found:
            return "no such row or object";
        case platform_error::history_expired:
            return "the changes asked for are no longer kept";
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
