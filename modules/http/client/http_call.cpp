#include "http/client/http_call.hpp"

#include "http/server/task.hpp"

namespace hibiscusferry
{

namespace
{

std::chrono::milliseconds remaining_time(time_point deadline)
{
    const std::chrono::milliseconds remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - boot_clock::now());
    return std::max(remaining, std::chrono::milliseconds(1));
}

/** Sends a request over an opened connection, and returns the connection to the
    pool after a complete response. */
result<http_response> exchange(http_connection_pool& pool,
                               std::unique_ptr<http_connection> connection,
                               const http_request& request, time_point deadline,
                               std::size_t max_body_bytes,
                               boost::asio::yield_context yield)
{
    const result<void> sent =
        connection->send(request, remaining_time(deadline), yield);
    if (!sent)
        return sent.error();
    const result<http_response_head> head =
        connection->read_head(remaining_time(deadline), yield);
    if (!head)
        return head.error();
    result<std::string> body = connection->read_remaining(
        max_body_bytes, remaining_time(deadline), yield);
    if (!body)
        return body.error();

    pool.release(std::move(connection));
    return http_response{head.value().status, head.value().headers,
                         std::move(body.value())};
}

} // namespace

result<http_response>
http_call(http_connection_pool& pool, const http_endpoint& endpoint,
          const http_request& request, std::chrono::milliseconds timeout,
          std::size_t max_body_bytes, boost::asio::yield_context yield)
{
    const time_point deadline = boot_clock::now() + timeout;
    result<std::unique_ptr<http_connection>> connection =
        pool.take(endpoint, timeout, yield);
    if (!connection)
        return connection.error() == http_error::connection_refused
                   ? make_error_code(http_error::connect_failed)
                   : connection.error();
    return exchange(pool, std::move(connection.value()), request, deadline,
                    max_body_bytes, yield);
}

result<http_response> http_call(http_connection_pool& pool,
                                std::unique_ptr<http_connection> connection,
                                const http_request& request,
                                std::chrono::milliseconds timeout,
                                std::size_t max_body_bytes,
                                boost::asio::yield_context yield)
{
    return exchange(pool, std::move(connection), request,
                    boot_clock::now() + timeout, max_body_bytes, yield);
}

void http_call(boost::asio::io_context& context, http_connection_pool& pool,
               const http_endpoint& endpoint, const http_request& request,
               std::chrono::milliseconds timeout, std::size_t max_body_bytes,
               std::function<void(result<http_response>)> handler)
{
    start_task(context,
               [&pool, endpoint, request, timeout, max_body_bytes,
                handler](boost::asio::yield_context yield)
               {
                   handler(http_call(pool, endpoint, request, timeout,
                                     max_body_bytes, yield));
               });
}

} // namespace hibiscusferry
