#include "claims/errors/claims_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class claims_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "claims";
    }

    std::string message(int code) const override
    {
        if (static_cast<claims_error>(code) == claims_error::bad_record)
            return "the row of the claim is malformed";
        return "unknown claims error";
    }
};

} // namespace

const std::error_category& claims_error_category()
{
    static const claims_category category;
    return category;
}

std::error_code make_error_code(claims_error error)
{
    return {static_cast<int>(error), claims_error_category()};
}

} // namespace hibiscusferry
