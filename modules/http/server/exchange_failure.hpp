#ifndef HIBISCUSFERRY_HTTP_SERVER_EXCHANGE_FAILURE_HPP
#define HIBISCUSFERRY_HTTP_SERVER_EXCHANGE_FAILURE_HPP

#include "http/message/http_message.hpp"
#include <chrono>
#include <functional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** Why a request did not arrive completely, or its response was not sent
    completely. */
enum class exchange_failure_cause
{
    connection_limit,    ///< too many connections; no request was read
    request_broken,      ///< the client closed before its request was complete
    request_timeout,     ///< the request did not arrive in time
    request_invalid,     ///< the request is malformed or too large
    client_disconnected, ///< the client closed before the response was complete
    write_failed,        ///< the connection broke while the response was sent
    write_timeout,       ///< the client did not read the response in time
    response_incomplete, ///< the handler returned without a complete response
    handler_exception,   ///< the handler threw an exception
    server_closed,       ///< the server was closed
    too_many_fields,     ///< the header has more fields than allowed
    memory_short,        ///< refused: the memory for clients is used up
    slow_client_dropped, ///< its memory was needed for other clients
    connection_dropped,  ///< its descriptor was needed for a new connection
    request_length_unknown, ///< its head leaves in doubt where its body ends
    request_coding_unknown  ///< its body has an unsupported transfer coding
};

/** Returns the name of a cause, such as "write_timeout". */
std::string_view to_text(exchange_failure_cause cause);

/** An exchange that failed, and what is known of it. */
struct exchange_failure
{
    exchange_failure_cause cause{};
    http_endpoint client;
    /** The request, or null if it had not arrived completely. Valid during the
        call of the observer. */
    const http_request* request = nullptr;
    bool has_started_response = false;
    /** Time since the first byte of the request. */
    std::chrono::milliseconds elapsed{0};
};

/** Called for each failed exchange, before its connection is closed. It must
    not suspend the calling coroutine. */
using exchange_failure_observer = std::function<void(const exchange_failure&)>;

} // namespace hibiscusferry

#endif
