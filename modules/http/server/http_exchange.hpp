#ifndef HIBISCUSFERRY_HTTP_SERVER_HTTP_EXCHANGE_HPP
#define HIBISCUSFERRY_HTTP_SERVER_HTTP_EXCHANGE_HPP

#include "foundation/foundation.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/http_message.hpp"
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <string_view>

namespace hibiscusferry
{

/** A request received by a server, and its response.

    Send the response either complete, with respond(), or as a stream: call
    begin_stream(), then write_chunk() any number of times, then end_stream().
    If the handler returns without ending its stream, the connection is closed
    without the final chunk, so that the client can detect the truncation.
*/
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /** Releases the memory of the request's body, of which the handler keeps a
        copy. */
    virtual void discard_request_body() = 0;

    /** The client's IP address and port. */
    virtual http_endpoint client() const = 0;

    /** When the last byte of the request arrived at this host. The time since
        then includes the time for which the request waited to be read, if the
        system reports it. */
    virtual time_point arrived_at() const = 0;

    /** How long the connection waited, at most, until it was accepted; zero
        after its first request. */
    virtual std::chrono::milliseconds accept_delay() const = 0;

    /** Sends a complete response. */
    virtual result<void> respond(const http_response& response,
                                 boost::asio::yield_context yield) = 0;

    /** Sends the status and header fields of a streamed response. */
    virtual result<void> begin_stream(const http_response_head& head,
                                      boost::asio::yield_context yield) = 0;

    /** Sends the next chunk of a streamed response. */
    virtual result<void> write_chunk(std::string_view chunk,
                                     boost::asio::yield_context yield) = 0;

    /** Sends the final chunk, which marks the response as complete. */
    virtual result<void> end_stream(boost::asio::yield_context yield) = 0;

    /** Returns true once the response has been started with respond() or
        begin_stream(). */
    virtual bool has_started_response() const = 0;

    /** Returns true if the client has closed the connection. */
    virtual bool is_client_disconnected() = 0;

    /** Sets a handler that is called once if the client closes the connection
        before the request handler ends.

        The handler is never called from within this function. Once the client
        has sent its next request, a disconnect is no longer detected.
    */
    virtual void on_client_disconnect(std::function<void()> handler) = 0;

    /** Closes the connection after this response. */
    virtual void close_after_response() = 0;
};

} // namespace hibiscusferry

#endif
