#ifndef HIBISCUSFERRY_GATEWAY_SHARING_DATAGRAM_CHANNEL_HPP
#define HIBISCUSFERRY_GATEWAY_SHARING_DATAGRAM_CHANNEL_HPP

#include "process/process.hpp"
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** The UDP endpoint of an IP address and a port; unspecified if the address is
    not valid. */
boost::asio::ip::udp::endpoint datagram_endpoint(const std::string& address,
                                                 std::uint16_t port);

/** The UDP socket over which the hosts exchange messages of all kinds.

    Delivery is not guaranteed: a datagram may be lost, duplicated or
    overtaken.
*/
class datagram_channel final : public kernel_service
{
public:
    static constexpr const char* name = "datagram_channel";

    /** Processes a datagram.
        @returns whether it is of a kind that this receiver processes, even if
                 its content is malformed */
    using receiver = std::function<bool(
        std::string_view bytes, const boost::asio::ip::udp::endpoint& sender)>;

    /** @param endpoint  the local address; port 0 selects a free port */
    datagram_channel(process_core& core,
                     const boost::asio::ip::udp::endpoint& endpoint);

    /** Adds a receiver. A datagram is passed to the receivers in the order in
        which they were added, until one of them processes it. */
    void add_receiver(receiver receive);

    result<void> start() override;
    void stop() override;

    /** Sends a datagram. A datagram that the system does not accept at once is
        dropped and counted. */
    void send(const std::string& bytes,
              const boost::asio::ip::udp::endpoint& to);

    /** The local address, once the channel has started. */
    const boost::asio::ip::udp::endpoint& endpoint() const;

private:
    void receive_loop(boost::asio::yield_context yield);

    process_core& core_;
    boost::asio::ip::udp::endpoint endpoint_;
    boost::asio::ip::udp::socket socket_;
    std::vector<receiver> receivers_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
