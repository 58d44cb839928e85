#include "configuration/errors/configuration_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class configuration_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "configuration";
    }

    std::string message(int code) const override
    {
        const configuration_error error =
            static_cast<configuration_error>(code);
        if (error == configuration_error::bad_record)
            return "the row of the document is malformed";
        return "unknown configuration error";
    }
};

} // namespace

const std::error_category& configuration_error_category()
{
    static const configuration_category category;
    return category;
}

std::error_code make_error_code(configuration_error error)
{
    return {static_cast<int>(error), configuration_error_category()};
}

} // namespace hibiscusferry
