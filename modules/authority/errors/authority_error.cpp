#include "authority/errors/authority_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class authority_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "authority";
    }

    std::string message(int code) const override
    {
        switch (static_cast<authority_error>(code))
        {
        case authority_error::bad_row:
            return "the row's value is malformed";
        case authority_error::not_ready:
            return "the orders of the former lease holder have not been read "
                   "yet";
        case authority_error::fence_not_raised:
            return "the target has not confirmed the fencing number";
        case authority_error::order_outstanding:
            return "another order for the target is not settled";
        case authority_error::former_sender_may_send:
            return "a former lease holder may still send the previous order";
        case authority_error::too_many_unavailable:
            return "the limit on simultaneously unavailable engines is reached";
        case authority_error::paced:
            return "the rate limit for loading weights is reached";
        case authority_error::no_order:
            return "the target has no unsettled order";
        case authority_error::already_sent:
            return "the order may already have been sent";
        }
        return "unknown authority error";
    }
};

} // namespace

const std::error_category& authority_error_category()
{
    static const authority_category category;
    return category;
}

std::error_code make_error_code(authority_error error)
{
    return {static_cast<int>(error), authority_error_category()};
}

} // namespace hibiscusferry
