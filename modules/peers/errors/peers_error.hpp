#ifndef HIBISCUSFERRY_PEERS_ERRORS_PEERS_ERROR_HPP
#define HIBISCUSFERRY_PEERS_ERRORS_PEERS_ERROR_HPP

#include <system_error>

namespace hibiscusferry
{

/** Errors of connections between the processes of the system. */
enum class peers_error
{
    invalid_settings = 1, ///< an invalid identity, key or address
    cannot_listen,        ///< the address cannot be bound
    too_large,            ///< the message exceeds the maximum frame size
    unknown_peer,         ///< no authenticated connection to the peer
    malformed,            ///< the frame is not a valid message
    version_mismatch,     ///< the frame has another protocol version
    not_authenticated     ///< the remote side failed authentication
};

const std::error_category& peers_error_category();
std::error_code make_error_code(peers_error error);

} // namespace hibiscusferry

template <>
struct std::is_error_code_enum<hibiscusferry::peers_error> : std::true_type
{
};

#endif
