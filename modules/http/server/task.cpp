#include "http/server/task.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/coroutine/attributes.hpp>
#include <boost/coroutine/exceptions.hpp>
#include <glog/logging.h>

namespace hibiscusferry
{

namespace
{

/** Virtual memory reserved for the stack of each coroutine. Only the pages
    that are touched occupy physical memory. */
constexpr std::size_t coroutine_stack_bytes = 256U << 10;

void run_guarded(const std::function<void(boost::asio::yield_context)>& body,
                 boost::asio::yield_context yield)
{
    try
    {
        body(yield);
    }
    catch (const boost::coroutines::detail::forced_unwind&)
    {
        throw;
    }
    catch (const std::exception& problem)
    {
        log_internal_error(problem);
    }
}

} // namespace

void log_internal_error(const std::exception& problem)
{
    LOG(ERROR) << "[1004] internal_error what=" << problem.what();
}

void start_task(boost::asio::io_context& context,
                std::function<void(boost::asio::yield_context)> body)
{
    boost::asio::post(
        context,
        [&context, body = std::move(body)]
        {
            boost::asio::spawn(
                context,
                [body](boost::asio::yield_context yield)
                { run_guarded(body, yield); },
                boost::coroutines::attributes(coroutine_stack_bytes));
        });
}

void sleep_for(boost::asio::io_context& context,
               std::chrono::nanoseconds duration,
               boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(context);
    timer.expires_after(duration);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
}

} // namespace hibiscusferry
