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

/** A proven peer. */
struct connected_peer
{
    peer_identity identity;
    /** Its connection did not answer a probe. */
    bool is_suspect = false;
};

/** Sends messages to other processes of the system and receives theirs.

    Messages are sent once: one that was on its way when its connection was
    lost is lost, and the modules that use the transport repeat what matters.
    Messages to one peer keep their order on one connection. A connection is
    opened for the first message to an endpoint and closed when it has been
    idle; maintain() keeps one. Replies to a peer go over whatever proven
    connection there is, no matter which side opened it.

    Must be destroyed after its io_context has stopped, or after stop() and a
    run of the io_context, and in any case before the io_context. The clock
    and the journal must outlive it.
*/
class peer_transport final : public kernel_service
{
public:
    using message_handler = std::function<void(const received_peer_message&)>;

    /** @returns peers_error::bad_settings for an empty id or a short key */
    static result<std::unique_ptr<peer_transport>>
    create(boost::asio::io_context& context, const clock& source,
           event_journal& journal, const peer_settings& settings);

    ~peer_transport() override;
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;

    // ====================================================================

    /** Listens, if the settings say so; peers_error::cannot_listen when the
        address is not free. */
    result<void> start() override;

    /** Closes all connections at once. */
    void stop() override;

    /** Who this process is, with the port it listens on once started. */
    const peer_identity& self() const;

    // ====================================================================

    /** Queues a message for the process at an endpoint.
        @returns peers_error::too_large when it does not fit into a frame,
                 and malformed when its payload is not CBOR */
    result<void> send(const peer_endpoint& endpoint, peer_message message);

    /** Queues a message for a proven peer; peers_error::unknown_peer when
        there is no connection to it. */
    result<void> send_to(const std::string& peer_id, peer_message message);

    /** Sets the handler of a type of message. A message of a type without
        a handler is ignored. */
    void on_message(const std::string& type, message_handler handler);

    /** Keeps a connection to an endpoint open and probed, until released. */
    void maintain(const peer_endpoint& endpoint);
    void release(const peer_endpoint& endpoint);

    // ====================================================================

    std::vector<connected_peer> connected_peers() const;

    /** Bytes of frames, their headers and the opening of connections,
        without the headers of TCP and IP. */
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    std::uint64_t messages_sent() const;
    std::uint64_t messages_received() const;

    /** Messages that made room for newer ones or waited for too long. */
    std::uint64_t messages_dropped() const;

private:
    struct implementation;

    explicit peer_transport(std::unique_ptr<implementation> parts);

    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
