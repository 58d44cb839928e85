#ifndef HIBISCUSFERRY_GATEWAY_STATE_FAKE_PEER_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_FAKE_PEER_DIRECTORY_HPP

#include "gateway/state/peer_directory.hpp"
#include <boost/asio/ip/udp.hpp>

// For tests only.

namespace hibiscusferry
{

/** The hosts that a test declares to be serving, each in a zone of its own. */
class fake_peer_directory final : public peer_directory
{
public:
    void add(const std::string& host,
             const boost::asio::ip::udp::endpoint& endpoint)
    {
        hosts_.push_back({host, "zone-of-" + host,
                          endpoint.address().to_string(), endpoint.port()});
        ++revision_;
    }

    std::vector<peer_host> serving_hosts() const override
    {
        return hosts_;
    }

    std::uint64_t revision() const override
    {
        return revision_;
    }

private:
    std::vector<peer_host> hosts_;
    std::uint64_t revision_ = 0;
};

} // namespace hibiscusferry

#endif
