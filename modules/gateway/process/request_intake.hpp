#ifndef HIBISCUSFERRY_GATEWAY_PROCESS_REQUEST_INTAKE_HPP
#define HIBISCUSFERRY_GATEWAY_PROCESS_REQUEST_INTAKE_HPP

#include "serving/serving.hpp"
#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <deque>
#include <functional>

namespace hibiscusferry
{

/** The queue of the requests that have been read and not yet processed.

    One request is taken from the queue in each pass of the event loop. Requests
    in flight therefore go before new ones, and the time for which a new request
    waits is known.
*/
class request_intake
{
public:
    explicit request_intake(boost::asio::io_context& context);

    request_intake(const request_intake&) = delete;
    request_intake& operator=(const request_intake&) = delete;

    /** Decides on the requests whose turn has come. */
    controlled_delay& delay();

    /** Suspends the calling coroutine until the turn of its request. */
    void wait_for_turn(boost::asio::yield_context yield);

    std::size_t size() const;

private:
    void schedule_next();
    void resume_next();

    boost::asio::io_context& context_;
    controlled_delay delay_;
    std::deque<std::function<void()>> waiting_;
    bool is_scheduled_ = false;
};

} // namespace hibiscusferry

#endif
