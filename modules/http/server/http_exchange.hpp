#ifndef HIBISCUSFERRY_HTTP_SERVER_HTTP_EXCHANGE_HPP
#define HIBISCUSFERRY_HTTP_SERVER_HTTP_EXCHANGE_HPP

#include "foundation/foundation.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/http_message.hpp"
#include <boost/asio/spawn.hpp>
#include <functional>
#include <string_view>

namespace hibiscusferry
{

/** One request at a server, and its answer.

    Answer either whole, with respond, or in pieces: begin_stream, then
    write_chunk as often as needed, then end_stream. A stream that is not
    ended when the handler returns is cut without its final chunk, so that
    the client sees that it is not complete.
*/
class http_exchange
{
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;

    /** The client's IP number and port. */
    virtual http_endpoint client() const = 0;

    /** Sends a whole answer. */
    virtual result<void> respond(const http_response& response,
                                 boost::asio::yield_context yield) = 0;

    /** Sends status and headers of an answer in pieces. */
    virtual result<void> begin_stream(const http_response_head& head,
                                      boost::asio::yield_context yield) = 0;
    virtual result<void> write_chunk(std::string_view piece,
                                     boost::asio::yield_context yield) = 0;
    virtual result<void> end_stream(boost::asio::yield_context yield) = 0;

    /** Whether the first byte of the answer was handed to the connection. */
    virtual bool has_begun() const = 0;

    /** Whether the client has closed the connection. */
    virtual bool is_client_disconnected() = 0;

    /** Calls `handler` once if the client closes the connection before the
        exchange has ended; never from inside this call. A client that has
        already sent its next request is not watched any further. */
    virtual void on_client_disconnect(std::function<void()> handler) = 0;

    /** Has the connection closed after this answer. */
    virtual void close_after_answer() = 0;
};

} // namespace hibiscusferry

#endif
