#include "peers/message/peer_message.hpp"

#include "peers/message/cbor_reader.hpp"

namespace hibiscusferry
{

std::string peer_endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

bool operator==(const peer_endpoint& left, const peer_endpoint& right)
{
    return left.address == right.address && left.port == right.port;
}

bool is_valid_payload(std::string_view bytes)
{
    return is_bounded_cbor(bytes, max_payload_depth);
}

} // namespace hibiscusferry
