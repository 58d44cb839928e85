#ifndef HIBISCUSFERRY_HTTP_SERVER_TASK_HPP
#define HIBISCUSFERRY_HTTP_SERVER_TASK_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>

namespace hibiscusferry
{

/** Starts a coroutine on the io_context; it begins to run later, never from
    inside this call. An exception that escapes is logged and ends the task
    only. */
void start_task(boost::asio::io_context& context,
                std::function<void(boost::asio::yield_context)> body);

/** Suspends the calling coroutine. */
void sleep_for(boost::asio::io_context& context,
               std::chrono::nanoseconds duration,
               boost::asio::yield_context yield);

} // namespace hibiscusferry

#endif
