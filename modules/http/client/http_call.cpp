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

namespace
{

/** Lets a progress refer to a connection for as long as its response is
    awaited. */
class observed_connection
{
public:
    observed_connection(transfer_progress& progress,
                        const http_connection& connection)
        : progress_(progress)
    {
        progress_.has_unread_data = [&connection]
        {
            return connection.has_unread_data();
        };
    }

    ~observed_connection()
    {
        progress_.has_unread_data = nullptr;
    }

    observed_connection(const observed_connection&) = delete;
    observed_connection& operator=(const observed_connection&) = delete;

private:
    transfer_progress& progress_;
};

result<std::string> read_body(http_connection& connection,
                              const transfer_limits& limits,
                              time_point deadline, transfer_progress& progress,
                              boost::asio::yield_context yield)
{
    std::string body;
    for (;;)
    {
        progress.last_received_at = boot_clock::now();
        if (!progress.first_received_at)
            progress.first_received_at = progress.last_received_at;
        const std::chrono::milliseconds timeout =
            std::min(limits.max_silence, remaining_time(deadline));
        const result<std::string> bytes =
            connection.read_available(limits.max_body_bytes, timeout, yield);
        if (!bytes)
            return bytes.error();
        if (bytes.value().empty())
            return body;
        if (boot_clock::now() >= deadline)
            return make_error_code(http_error::timed_out);
        body += bytes.value();
        progress.received_bytes += bytes.value().size();
        if (body.size() > limits.max_body_bytes)
            return make_error_code(http_error::too_large);
    }
}

} // namespace

result<http_response>
http_transfer(http_connection_pool& pool, const http_endpoint& endpoint,
              const http_request& request, const transfer_limits& limits,
              const std::shared_ptr<transfer_progress>& progress,
              boost::asio::yield_context yield)
{
    const std::shared_ptr<transfer_progress> recorded =
        progress ? progress : std::make_shared<transfer_progress>();
    const time_point start = boot_clock::now();
    const time_point response_deadline = start + limits.response_timeout;
    result<std::unique_ptr<http_connection>> opened =
        pool.take(endpoint, limits.response_timeout, yield);
    if (!opened)
        return opened.error() == http_error::connection_refused
                   ? make_error_code(http_error::connect_failed)
                   : opened.error();
    std::unique_ptr<http_connection> connection = std::move(opened.value());
    const result<void> sent =
        connection->send(request, remaining_time(response_deadline), yield);
    if (!sent)
        return sent.error();
    result<http_response_head> head = make_error_code(http_error::not_open);
    result<std::string> body = make_error_code(http_error::not_open);
    {
        const observed_connection observed(*recorded, *connection);
        head = connection->read_head(remaining_time(response_deadline), yield);
        if (head)
            body = read_body(*connection, limits, start + limits.total_timeout,
                             *recorded, yield);
    }
    if (!head)
        return head.error();
    if (!body)
        return body.error();
    pool.release(std::move(connection));
    return http_response{head.value().status, head.value().headers,
                         std::move(body.value())};
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

void http_call_without_late_arrival(
    boost::asio::io_context& context, http_connection_pool& pool,
    const http_endpoint& endpoint, const http_request& request,
    std::chrono::milliseconds timeout, std::size_t max_body_bytes,
    std::function<void(result<http_response>)> handler)
{
    start_task(context,
               [&pool, endpoint, request, timeout, max_body_bytes,
                handler = std::move(handler)](boost::asio::yield_context yield)
               {
                   const time_point deadline = boot_clock::now() + timeout;
                   result<std::unique_ptr<http_connection>> connection =
                       pool.open(endpoint, timeout, yield);
                   if (!connection)
                   {
                       handler(make_error_code(http_error::connect_failed));
                       return;
                   }
                   const std::chrono::milliseconds remaining =
                       remaining_time(deadline);
                   connection.value()->abort_on_close(remaining);
                   handler(http_call(pool, std::move(connection.value()),
                                     request, remaining, max_body_bytes,
                                     yield));
               });
}

} // namespace hibiscusferry
