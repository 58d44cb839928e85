#include "http/errors/http_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class http_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "http";
    }

    std::string message(int code) const override
    {
        switch (static_cast<http_error>(code))
        {
        case http_error::connect_failed:
            return "no connection could be opened";
        case http_error::timed_out:
            return "the other side was silent for too long";
        case http_error::broken:
            return "the connection was closed";
        case http_error::bad_message:
            return "the message is not well-formed";
        case http_error::too_large:
            return "the message is too large";
        case http_error::bad_address:
            return "the address cannot be used";
        case http_error::not_open:
            return "the exchange is already over";
        }
        return "unknown http error";
    }
};

} // namespace

const std::error_category& http_error_category()
{
    static const http_category category;
    return category;
}

std::error_code make_error_code(http_error error)
{
    return {static_cast<int>(error), http_error_category()};
}

} // namespace hibiscusferry
