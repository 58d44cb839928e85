#include "http/errors/http_error.hpp"

#include <array>
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
            return "connection could not be established";
        case http_error::timed_out:
            return "operation timed out";
        case http_error::broken:
            return "connection closed or reset by peer";
        case http_error::bad_message:
            return "malformed HTTP message";
        case http_error::too_large:
            return "HTTP message exceeds the size limit";
        case http_error::bad_address:
            return "address is invalid or not available";
        case http_error::not_open:
            return "no exchange is in progress";
        case http_error::connection_refused:
            return "connection refused";
        case http_error::too_many_fields:
            return "HTTP message has too many header fields";
        case http_error::memory_short:
            return "too little memory for the HTTP message";
        case http_error::address_in_use:
            return "address is in use";
        case http_error::unknown_length:
            return "length of the HTTP message is not certain";
        case http_error::unknown_coding:
            return "transfer coding of the HTTP message is not supported";
        case http_error::unknown_status:
            return "status of the HTTP response is not valid";
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

namespace
{

struct invalid_message
{
    http_error error;
    std::string_view cause;
};

constexpr std::array<invalid_message, 5> invalid_messages{
    {{http_error::bad_message, "malformed"},
     {http_error::too_large, "too_large"},
     {http_error::unknown_length, "length_unknown"},
     {http_error::unknown_coding, "coding_unknown"},
     {http_error::unknown_status, "status_unknown"}}};

} // namespace

bool is_invalid_message(std::error_code error)
{
    return !invalid_message_cause(error).empty();
}

std::string_view invalid_message_cause(std::error_code error)
{
    for (const invalid_message& candidate : invalid_messages)
    {
        if (error == candidate.error)
            return candidate.cause;
    }
    return {};
}

} // namespace hibiscusferry
