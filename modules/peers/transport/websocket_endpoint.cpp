#include "peers/transport/websocket_endpoint.hpp"

#include "peers/message/peer_envelope.hpp"
#include <boost/asio/ip/tcp.hpp>
#include <netinet/tcp.h>

namespace hibiscusferry
{

namespace
{

constexpr long close_timeout_milliseconds = 1000;
constexpr int tcp_user_timeout_milliseconds = 10000;
constexpr std::size_t probe_bytes = 6;

template <class Endpoint>
void configure(Endpoint& endpoint, boost::asio::io_context& context,
               std::chrono::milliseconds handshake_timeout)
{
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.init_asio(&context);
    endpoint.set_open_handshake_timeout(handshake_timeout.count());
    endpoint.set_close_handshake_timeout(close_timeout_milliseconds);
    endpoint.set_max_message_size(max_frame_bytes);
}

/** Returns the size of a frame on the wire (RFC 6455, section 5.2). */
std::size_t frame_size_bytes(std::size_t payload, bool is_masked)
{
    constexpr std::size_t max_short_payload = 125;
    constexpr std::size_t max_medium_payload = 65535;
    std::size_t header = 2;
    if (payload > max_medium_payload)
        header = 10;
    else if (payload > max_short_payload)
        header = 4;
    return header + (is_masked ? 4 : 0) + payload;
}

void set_peer_socket_options(boost::asio::ip::tcp::socket& socket)
{
    boost::system::error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    ::setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT,
                 &tcp_user_timeout_milliseconds,
                 sizeof(tcp_user_timeout_milliseconds));
}

} // namespace

websocket_endpoint::websocket_endpoint(
    boost::asio::io_context& context, websocket_events events,
    std::chrono::milliseconds handshake_timeout, std::size_t max_connections)
    : events_(std::move(events))
    , max_connections_(max_connections)
{
    configure(server_, context, handshake_timeout);
    configure(client_, context, handshake_timeout);
    server_.set_reuse_addr(true);
    server_.set_validate_handler([this](const websocketpp::connection_hdl&)
                                 { return connections() < max_connections_; });
    server_.set_open_handler([this](const websocketpp::connection_hdl& handle)
                             { accept(server_.get_con_from_hdl(handle)); });
}

result<peer_endpoint> websocket_endpoint::listen(const peer_endpoint& endpoint)
{
    boost::system::error_code address_error;
    const boost::asio::ip::address address =
        boost::asio::ip::make_address(endpoint.address, address_error);
    if (address_error)
        return make_error_code(peers_error::invalid_settings);

    websocketpp::lib::error_code error;
    server_.listen(boost::asio::ip::tcp::endpoint(address, endpoint.port),
                   error);
    if (!error)
        server_.start_accept(error);
    if (error)
        return make_error_code(peers_error::cannot_listen);
    const boost::asio::ip::tcp::endpoint local =
        server_.get_local_endpoint(address_error);
    if (address_error)
        return make_error_code(peers_error::cannot_listen);
    return peer_endpoint{local.address().to_string(), local.port()};
}

connection_number websocket_endpoint::open(const peer_endpoint& endpoint)
{
    const bool is_version_6 = endpoint.address.find(':') != std::string::npos;
    const std::string host =
        is_version_6 ? "[" + endpoint.address + "]" : endpoint.address;
    websocketpp::lib::error_code error;
    const connection_pointer handle = client_.get_connection(
        "ws://" + host + ":" + std::to_string(endpoint.port) + "/peers", error);
    if (error)
        return 0;

    const connection_number number = ++last_number_;
    connections_[number] = {handle, false};
    set_handlers(handle, number);
    handle->set_open_handler(
        [this, number, alive = std::weak_ptr<char>(alive_)](
            const websocketpp::connection_hdl&)
        {
            const connection_pointer opened =
                alive.expired() ? nullptr : find(number);
            if (!opened)
                return;
            set_peer_socket_options(opened->get_raw_socket());
            count_handshake_bytes(*opened);
            events_.opened(number, false);
        });
    client_.connect(handle);
    return number;
}

void websocket_endpoint::send(connection_number number,
                              const std::string& frame)
{
    const connection_pointer handle = find(number);
    if (!handle)
        return;
    // A failure closes the connection, which the closed event reports.
    if (!handle->send(frame, websocketpp::frame::opcode::binary))
        bytes_sent_ +=
            frame_size_bytes(frame.size(), !connections_[number].is_accepted);
}

void websocket_endpoint::probe(connection_number number)
{
    const connection_pointer handle = find(number);
    if (!handle)
        return;
    websocketpp::lib::error_code ignored;
    handle->ping("", ignored);
    bytes_sent_ += probe_bytes;
}

void websocket_endpoint::close(connection_number number)
{
    const connection_pointer handle = find(number);
    if (!handle)
        return;
    connections_.erase(number);
    websocketpp::lib::error_code error;
    handle->close(websocketpp::close::status::policy_violation, "", error);
    // The connection is not open yet or is already closing.
    if (error)
    {
        boost::system::error_code ignored;
        handle->get_raw_socket().close(ignored);
    }
}

void websocket_endpoint::close_all()
{
    websocketpp::lib::error_code ignored;
    if (server_.is_listening())
        server_.stop_listening(ignored);
    while (!connections_.empty())
        close(connections_.begin()->first);
}

std::string websocket_endpoint::remote_address(connection_number number) const
{
    const connection_pointer handle = find(number);
    if (!handle)
        return {};
    boost::system::error_code error;
    const boost::asio::ip::tcp::endpoint remote =
        handle->get_raw_socket().remote_endpoint(error);
    if (error)
        return {};
    return peer_endpoint{remote.address().to_string(), remote.port()}.text();
}

std::size_t websocket_endpoint::unsent_bytes(connection_number number) const
{
    const connection_pointer handle = find(number);
    return handle ? handle->get_buffered_amount() : 0;
}

std::uint64_t websocket_endpoint::bytes_sent() const
{
    return bytes_sent_;
}

std::uint64_t websocket_endpoint::bytes_received() const
{
    return bytes_received_;
}

std::size_t websocket_endpoint::connections() const
{
    return connections_.size();
}

void websocket_endpoint::accept(const connection_pointer& handle)
{
    const connection_number number = ++last_number_;
    connections_[number] = {handle, true};
    set_handlers(handle, number);
    set_peer_socket_options(handle->get_raw_socket());
    count_handshake_bytes(*handle);
    events_.opened(number, true);
}

void websocket_endpoint::receive_frame(connection_number number,
                                       const server::message_ptr& message)
{
    const auto entry = connections_.find(number);
    if (entry == connections_.end())
        return;
    const std::string& frame = message->get_payload();
    bytes_received_ +=
        frame_size_bytes(frame.size(), entry->second.is_accepted);
    const bool is_binary =
        message->get_opcode() == websocketpp::frame::opcode::binary;
    events_.received(number, is_binary ? frame : std::string());
}

void websocket_endpoint::receive_pong(connection_number number)
{
    if (!find(number))
        return;
    bytes_received_ += probe_bytes;
    events_.probe_response_received(number);
}

void websocket_endpoint::handle_closed(connection_number number)
{
    if (connections_.erase(number) > 0)
        events_.closed(number);
}

void websocket_endpoint::set_handlers(const connection_pointer& handle,
                                      connection_number number)
{
    // The handlers may be called after this object has been destroyed.
    const std::weak_ptr<char> alive = alive_;
    handle->set_message_handler(
        [this, number, alive](const websocketpp::connection_hdl&,
                              const server::message_ptr& message)
        {
            if (!alive.expired())
                receive_frame(number, message);
        });
    handle->set_pong_handler(
        [this, number, alive](const websocketpp::connection_hdl&,
                              const std::string&)
        {
            if (!alive.expired())
                receive_pong(number);
        });
    const auto end = [this, number, alive](const websocketpp::connection_hdl&)
    {
        if (!alive.expired())
            handle_closed(number);
    };
    handle->set_close_handler(end);
    handle->set_fail_handler(end);
}

void websocket_endpoint::count_handshake_bytes(const connection& handle)
{
    const std::size_t request = handle.get_request().raw().size();
    const std::size_t response = handle.get_response().raw().size();
    bytes_sent_ += handle.is_server() ? response : request;
    bytes_received_ += handle.is_server() ? request : response;
}

websocket_endpoint::connection_pointer
websocket_endpoint::find(connection_number number) const
{
    const auto entry = connections_.find(number);
    return entry == connections_.end() ? nullptr : entry->second.handle;
}

} // namespace hibiscusferry
