#include "peers/errors/peers_error.hpp"

#include <string>

namespace hibiscusferry
{

namespace
{

class peers_category final : public std::error_category
{
public:
    const char* name() const noexcept override
    {
        return "peers";
    }

    std::string message(int code) const override
    {
        switch (static_cast<peers_error>(code))
        {
        case peers_error::invalid_settings:
            return "invalid settings for peer connections";
        case peers_error::cannot_listen:
            return "cannot listen on the peer address";
        case peers_error::too_large:
            return "the message exceeds the maximum frame size";
        case peers_error::unknown_peer:
            return "no authenticated connection to the peer";
        case peers_error::malformed:
            return "the frame is malformed";
        case peers_error::version_mismatch:
            return "the frame has another protocol version";
        case peers_error::not_authenticated:
            return "authentication with the shared key failed";
        }
        return "unknown peers error";
    }
};

} // namespace

const std::error_category& peers_error_category()
{
    static const peers_category category;
    return category;
}

std::error_code make_error_code(peers_error error)
{
    return {static_cast<int>(error), peers_error_category()};
}

} // namespace hibiscusferry
