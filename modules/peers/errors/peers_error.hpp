#ifndef HIBISCUSFERRY_PEERS_ERRORS_PEERS_ERROR_HPP
#define HIBISCUSFERRY_PEERS_ERRORS_PEERS_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of the connections between the system's processes. */
enum class peers_error
{
    bad_settings = 1, ///< an identity, key or address that cannot be used
    cannot_listen,    ///< the address is not free
    too_large,        ///< the message is larger than a frame may be
    unknown_peer,     ///< no connection to a peer of that id
    malformed,        ///< a frame that is not a message of this protocol
    other_version,    ///< a frame of another version of the protocol
    not_proven        ///< the other side does not know the shared key
};

const std::error_category& peers_error_category();
std::error_code make_error_code(peers_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::peers_error> : std::true_type
{
};

#endif
