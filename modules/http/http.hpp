/** @file
    The http module: HTTP/1.1 servers and client connections.

    A thin layer over Boost.Beast that uses the stackful coroutines of
    Boost.Asio. Beast headers are included only by the module's single
    translation unit. All classes must be used from the thread that runs the
    io_context. The module depends on foundation.
*/
#ifndef HIBISCUSFERRY_HTTP_HTTP_HPP
#define HIBISCUSFERRY_HTTP_HTTP_HPP

#include "foundation/foundation.hpp"

#include "http/client/discard_body.hpp"
#include "http/client/http_call.hpp"
#include "http/client/http_connection.hpp"
#include "http/client/http_connection_pool.hpp"
#include "http/client/transfer_progress.hpp"
#include "http/errors/http_error.hpp"
#include "http/message/event_stream_parser.hpp"
#include "http/message/http_message.hpp"
#include "http/message/url_encoding.hpp"
#include "http/server/exchange_failure.hpp"
#include "http/server/http_exchange.hpp"
#include "http/server/http_server.hpp"
#include "http/server/memory_budget.hpp"
#include "http/server/shedding_policy.hpp"
#include "http/server/task.hpp"

#endif
