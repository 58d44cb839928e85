#ifndef HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_HPP
#define HIBISCUSFERRY_HTTP_CLIENT_HTTP_CONNECTION_HPP

#include "foundation/foundation.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/http_message.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Called for each response that is not valid, with the endpoint that sent it
    and the reason; see is_invalid_message(). */
using invalid_response_observer =
    std::function<void(const http_endpoint&, std::error_code)>;

/** A client connection that carries one exchange at a time.

    Call send(), then read_head(), then read_some() until it returns an empty
    string. A connection whose exchange did not complete must not be reused;
    see is_reusable(). The destructor closes the connection.
*/
class http_connection
{
public:
    /** Opens a connection.

        @returns the connection, http_error::connection_refused if nothing
                 listens at the endpoint, or http_error::connect_failed if it
                 could not be established for another reason or within the
                 timeout; nothing has been sent in these cases
    */
    static result<std::unique_ptr<http_connection>>
    connect(boost::asio::io_context& context, const http_endpoint& endpoint,
            std::chrono::milliseconds timeout,
            boost::asio::yield_context yield);

    ~http_connection();
    http_connection(const http_connection&) = delete;
    http_connection& operator=(const http_connection&) = delete;

    /** Sends a complete request. After an error, part or all of it may have
        been sent. After http_error::timed_out the connection is still open, and
        continue_send() sends the rest. */
    result<void> send(http_request request, std::chrono::milliseconds timeout,
                      boost::asio::yield_context yield);

    /** Sends what is left of a request after a timeout; does nothing if it has
        been sent completely. */
    result<void> continue_send(std::chrono::milliseconds timeout,
                               boost::asio::yield_context yield);

    /** Reads the status and the header fields of the response. Interim
        responses (status 1xx) are skipped.

        After http_error::timed_out the connection is still open, and the read
        can be continued with another call; this also holds for read_some().

        The connection is closed if what has arrived is no valid response;
        is_invalid_message() tells such errors. They say nothing on whether the
        request has run.

        @param timeout  maximum time until the head is complete
        @returns http_error::bad_message if the head is malformed or interim
                 responses do not end, http_error::too_large if the head exceeds
                 32 KB or 256 fields, http_error::unknown_status if the
                 status is 101 or not from 100 to 599,
                 http_error::unknown_length if the length of the body is not
                 certain, or http_error::unknown_coding if the body is coded
    */
    result<http_response_head> read_head(std::chrono::milliseconds timeout,
                                         boost::asio::yield_context yield);

    /** Reads the next chunk of the body.

        @returns an empty string at the end of the body
    */
    result<std::string> read_some(std::chrono::milliseconds timeout,
                                  boost::asio::yield_context yield);

    /** Reads the next bytes of the body, and all those that have arrived by
        then. A busy process reads a large body in fewer passes of the event
        loop than with read_some().

        @param max_bytes  number of bytes after which it returns
        @returns an empty string at the end of the body
    */
    result<std::string> read_available(std::size_t max_bytes,
                                       std::chrono::milliseconds timeout,
                                       boost::asio::yield_context yield);

    /** Whether the body of the response has neither a length nor chunks, so
       that it ends with the connection. Valid after read_head(). */
    bool ends_with_connection() const;

    /** Reads the remainder of the body.

        @returns http_error::too_large if it exceeds `max_body_bytes`
    */
    result<std::string> read_remaining(std::size_t max_body_bytes,
                                       std::chrono::milliseconds timeout,
                                       boost::asio::yield_context yield);

    /** Sets a function that is called if a response is not valid. */
    void on_invalid_response(invalid_response_observer observer);

    /** Maximum number of exchanges with an id over one connection, so that the
        memory for the ids is limited. */
    static constexpr std::size_t max_identified_exchanges = 512;

    /** Records the id of the next exchange. After max_identified_exchanges the
        connection is not reusable any more. */
    void add_exchange_id(std::string_view id);

    /** Whether an exchange with this id has taken place. Its response may
        arrive again, and could not be told from that of another exchange with
        the id. */
    bool has_carried(std::string_view id) const;

    /** Returns true if the last exchange completed, no unexpected bytes
        followed it, and the server keeps the connection open. */
    bool is_reusable() const;

    /** Returns true if an idle connection is still open and has no unread
        bytes. Bytes that arrive between exchanges belong to no request, so a
        connection with unread bytes must not be reused. */
    bool is_open_and_idle() const;

    /** The idle timeout that the server announced in its Keep-Alive header,
        or std::nullopt if it announced none. */
    std::optional<std::chrono::seconds> keep_alive_timeout() const;

    /** Prepares to read another response within the same exchange, after
        discarding a complete response that belonged to another request. */
    void expect_another_response();

    /** Returns true if bytes have arrived that have not been read. */
    bool has_unread_data() const;

    /** Returns true if any byte of a response to the current exchange has
        been received. */
    bool has_received() const;

    const http_endpoint& endpoint() const;

    /** Makes the end of the connection discard what has not been delivered yet,
        instead of delivering it later. The connection also ends if something is
        not delivered within a time, even while the process is paused. For calls
        that must not arrive late, as they carry an authority that may be lost.
        The connection is not reusable, as the time would apply to later
        requests as well. */
    void abort_on_close(std::chrono::milliseconds delivery_timeout);

    /** Closes the connection. Any operation in progress fails with
        http_error::broken. */
    void close();

private:
    struct implementation;

    explicit http_connection(std::unique_ptr<implementation> state);

    std::unique_ptr<implementation> implementation_;
};

} // namespace hibiscusferry

#endif
