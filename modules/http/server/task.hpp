#ifndef HIBISCUSFERRY_HTTP_SERVER_TASK_HPP
#define HIBISCUSFERRY_HTTP_SERVER_TASK_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <exception>
#include <functional>

namespace hibiscusferry
{

/** Starts a coroutine on the io_context.

    The coroutine never begins to run within this function. An exception that
    escapes from `body` is logged and ends only that coroutine.
*/
void start_task(boost::asio::io_context& context,
                std::function<void(boost::asio::yield_context)> body);

/** Logs an exception that escaped from a task or a handler. */
void log_internal_error(const std::exception& problem);

/** Suspends the calling coroutine for the given duration. */
void sleep_for(boost::asio::io_context& context,
               std::chrono::nanoseconds duration,
               boost::asio::yield_context yield);

} // namespace hibiscusferry

#endif
