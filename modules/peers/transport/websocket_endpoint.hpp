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

// Private to the module: the only place that knows websocketpp.

namespace hibiscusferry
{

/** Names a connection; never used twice. */
using connection_number = std::uint64_t;

/** What happens on connections. None is called from inside a call of
    websocket_endpoint, and none after the connection was closed by it. */
struct websocket_events
{
    std::function<void(connection_number, bool is_accepted)> opened;
    /** A frame; empty when it was not a binary one. */
    std::function<void(connection_number, const std::string&)> received;
    std::function<void(connection_number)> probe_answered;
    /** The connection ended, or could not be opened. */
    std::function<void(connection_number)> closed;
};

/** Accepts and opens WebSocket connections and moves frames over them.

    Must be destroyed after its io_context has stopped, or after close_all()
    and a run of the io_context.
*/
class websocket_endpoint
{
public:
    websocket_endpoint(boost::asio::io_context& context,
                       websocket_events events,
                       std::chrono::milliseconds open_limit,
                       std::size_t most_connections);

    /** @returns where it listens, or peers_error::cannot_listen */
    result<peer_endpoint> listen(const peer_endpoint& endpoint);

    /** Begins to open a connection; opened or closed follows. Zero when the
        address cannot be used. */
    connection_number open(const peer_endpoint& endpoint);

    void send(connection_number number, const std::string& frame);
    void probe(connection_number number);

    /** Closes a connection at once; its events end. */
    void close(connection_number number);
    void close_all();

    /** The other side's IP number and port, or an empty text. */
    std::string remote_address(connection_number number) const;

    /** Bytes handed over that the kernel has not taken yet. */
    std::size_t unsent_bytes(connection_number number) const;

    /** Bytes of frames, their headers and the opening, without those of TCP
        and IP. */
    std::uint64_t bytes_sent() const;
    std::uint64_t bytes_received() const;

    std::size_t connections() const;

private:
    // One configuration for both roles makes their connections one type.
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
    void take_frame(connection_number number,
                    const server::message_ptr& message);
    void take_probe_answer(connection_number number);
    void take_end(connection_number number);
    void set_handlers(const connection_pointer& handle,
                      connection_number number);
    void count_opening(const connection& handle);
    connection_pointer find(connection_number number) const;

    websocket_events events_;
    std::size_t most_connections_;
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
