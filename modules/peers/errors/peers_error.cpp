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
        case peers_error::bad_settings:
            return "the settings of the peer connections cannot be used";
        case peers_error::cannot_listen:
            return "the peer address is not free";
        case peers_error::too_large:
            return "the message is too large";
        case peers_error::unknown_peer:
            return "no connection to that peer";
        case peers_error::malformed:
            return "the frame is malformed";
        case peers_error::other_version:
            return "the frame is of another version of the protocol";
        case peers_error::not_proven:
            return "the other side does not know the shared key";
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
