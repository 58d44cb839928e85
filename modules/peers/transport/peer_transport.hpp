#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_PEER_TRANSPORT_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_PEER_TRANSPORT_HPP

#include "foundation/foundation.hpp"
#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include "peers/transport/peer_settings.hpp"
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace boost::asio
{
class io_context;
}

namespace hibiscusferry
{

/** An authenticated peer. */
struct connected_peer
{
    peer_identity identity;
    /** Whether its connection has not responded to a probe in time. */
    bool is_suspect = false;
};

/** Exchanges messages with other processes of the system.

    Messages are delivered at most once: a message in transit is lost when its
    connection is lost, and callers must repeat messages that have to arrive.
    Messages on one connection arrive in order. A connection is opened for the
    first message to an endpoint and closed when it is idle, unless maintain()
    keeps it open. Messages to a peer are sent over any authenticated
    connection, no matter which side opened it.

    The transport must be destroyed after its io_context has stopped, or after
    stop() and a run of the io_context, and in either case before the
    io_context. The clock and the journal must outlive it.
*/
class peer_transport final : public kernel_service
{
public:
    using message_handler = std::function<void(const received_peer_message&)>;

    /** Creates a transport.
        @returns peers_error::invalid_settings if the id is empty or too long,
                 the key is too short or the queue length is 0 */
    static result<std::unique_ptr<peer_transport>>
    create(boost::asio::io_context& context, const clock& source,
           event_journal& journal, const peer_settings& settings);

    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    // ====================================================================

    /** Starts the transport, which listens if the settings have an address.
        @returns peers_error::cannot_listen if the address cannot be bound */
    result<void> start() override;

    /** Closes all connections immediately. */
    void stop() override;

    /** Returns the identity of this process. Once started, it contains the
        port on which the transport listens. */
    const peer_identity& self() const;

    // ====================================================================

    /** Queues a message for the process at an endpoint.
        @returns peers_error::too_large if the message does not fit into a
                 frame, or malformed if its payload is not valid CBOR */
    result<void> send(const peer_endpoint& endpoint, peer_message message);

    /** Queues a message for an authenticated peer.
        @returns peers_error::unknown_peer if there is no connection to it, or
                 an error of send() */
    result<void> send_to(const std::string& peer_id, peer_message message);

    /** Sets the handler for a message type. Messages of a type without a
        handler are ignored. */
    void on_message(const std::string& type, message_handler handler);

    /** Keeps a connection to an endpoint open and probes it, until release()
        is called. */
    void maintain(const peer_endpoint& endpoint);

    /** Ends maintain(): the connection is closed once it is idle. */
    void release(const peer_endpoint& endpoint);

    // ====================================================================

    std::vector<connected_peer> connected_peers() const;

    /** Returns the bytes of frames, their headers and the WebSocket
        handshakes, excluding TCP and IP headers. */
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    std::uint64_t messages_sent() const;
    std::uint64_t messages_received() const;

    /** Returns the number of messages that were evicted from a full queue or
        have expired. */
    std::uint64_t messages_dropped() const;

private:
    struct implementation;

    explicit peer_transport(std::unique_ptr<implementation> impl);

    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
