#ifndef HIBISCUSFERRY_GATEWAY_STATE_PEER_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_PEER_DIRECTORY_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Where a host receives messages from other hosts. */
struct peer_host
{
    std::string host;
    std::string availability_zone;
    /** IP address. */
    std::string address;
    std::uint16_t port = 0;
};

/** The hosts that take part in the exchange of messages. */
class peer_directory
{
public:
    virtual ~peer_directory() = default;

    /** The serving hosts, including this one. Empty if the list of hosts has
        not been received yet. */
    virtual std::vector<peer_host> serving_hosts() const = 0;

    /** Changes whenever serving_hosts() may have changed. */
    virtual std::uint64_t revision() const = 0;
};

} // namespace hibiscusferry

#endif
