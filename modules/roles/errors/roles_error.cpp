#include "roles/errors/roles_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class roles_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "roles";
    }

    std::string message(int code) const override
    {
        switch (static_cast<roles_error>(code))
        {
        case roles_error::unknown_role:
            return "unknown engine role";
        case roles_error::invalid_settings:
            return "a setting of the role policy is out of range";
        }
        return "unknown error of the roles module";
    }
};

} // namespace

const std::error_category& roles_error_category()
{
    static const roles_category category;
    return category;
}

std::error_code make_error_code(roles_error error)
{
    return {static_cast<int>(error), roles_error_category()};
}

} // namespace hibiscusferry
