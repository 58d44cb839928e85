#ifndef HIBISCUSFERRY_PEERS_TRANSPORT_WEBSOCKET_ENDPOINT_HPP
#define HIBISCUSFERRY_PEERS_TRANSPORT_WEBSOCKET_ENDPOINT_HPP

#include "peers/errors/peers_error.hpp"
#include "peers/message/peer_message.hpp"
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>
#include <websocketpp/server.hpp>

// Private to the module: the wrapper of websocketpp.

namespace hibiscusferry
{

/** Identifies a connection; numbers are never reused. */
using connection_number = std::uint64_t;

/** Callbacks for events on connections. They are not called from within a
    member function of websocket_endpoint, nor after it has closed the
    connection. */
struct websocket_events
{
    std::function<void(connection_number, bool is_accepted)> opened;
    /** A frame was received; it is passed as empty if it was not binary. */
    std::function<void(connection_number, const std::string&)> received;
    std::function<void(connection_number)> probe_response_received;
    /** The connection was closed or could not be opened. */
    std::function<void(connection_number)> closed;
};

/** Accepts and opens WebSocket connections and transfers frames over them.

    The endpoint must be destroyed after its io_context has stopped, or after
    close_all() and a run of the io_context.
*/
class websocket_endpoint
{
public:
    websocket_endpoint(boost::asio::io_context& context,
                       websocket_events events,
                       std::chrono::milliseconds handshake_timeout,
                       std::size_t max_connections);

    /** Starts to accept connections.
        @returns the bound address, peers_error::invalid_settings if the
                 address is invalid, or peers_error::cannot_listen */
    result<peer_endpoint> listen(const peer_endpoint& endpoint);

    /** Starts to open a connection. An opened or a closed event follows.
        @returns the number of the connection, or 0 if the address is
                 invalid */
    connection_number open(const peer_endpoint& endpoint);

    void send(connection_number number, const std::string& frame);
    void probe(connection_number number);

    /** Closes a connection immediately. No further events are reported for
        it. */
    void close(connection_number number);
    void close_all();

    /** Returns the remote IP address and port, or an empty string if they are
        unavailable. */
    std::string remote_address(connection_number number) const;

    /** Returns the bytes passed to send() that are still buffered in the
        process. */
    std::size_t unsent_bytes(connection_number number) const;

    /** Returns the bytes of frames, their headers and the WebSocket
        handshakes, excluding TCP and IP headers. */
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    std::size_t connections() const;

private:
    // Both roles use the same configuration, so that their connections have
    // the same type.
    using configuration = websocketpp::config::asio_client;
    using server = websocketpp::server<configuration>;
    using client = websocketpp::client<configuration>;
    using connection = websocketpp::connection<configuration>;
    using connection_pointer = connection::ptr;

    struct open_connection
    {
        connection_pointer handle;
        bool is_accepted = false;
    };

    void accept(const connection_pointer& handle);
    void receive_frame(connection_number number,
                       const server::message_ptr& message);
    void receive_pong(connection_number number);
    void handle_closed(connection_number number);
    void set_handlers(const connection_pointer& handle,
                      connection_number number);
    void count_handshake_bytes(const connection& handle);
    connection_pointer find(connection_number number) const;

    websocket_events events_;
    std::size_t max_connections_;
    server server_;
    client client_;
    std::map<connection_number, open_connection> connections_;
    connection_number last_number_ = 0;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::shared_ptr<char> alive_ = std::make_shared<char>();
};

} // namespace hibiscusferry

#endif
