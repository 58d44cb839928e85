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

    Each pass of the event loop takes one request that will be processed from
    the queue, and those before it that have waited too long. Requests in flight
    therefore go before new ones, and the time for which a new request waits is
    known.
*/
class request_intake
{
public:
    explicit request_intake(boost::asio::io_context& context);

    request_intake(const request_intake&) = delete;
    request_intake& operator=(const request_intake&) = delete;

    /** Decides which requests are processed. */
    controlled_delay& delay();

    /** Suspends the calling coroutine until the turn of its request.
        @param arrived_at  when the request arrived
        @returns whether the request is processed; it is refused otherwise */
    bool wait_for_turn(time_point arrived_at, boost::asio::yield_context yield);

    std::size_t size() const;

private:
    struct waiting_request
    {
        time_point arrived_at;
        /** Where the waiting coroutine finds the decision. */
        bool* is_admitted;
        std::function<void()> resume;
    };

    void schedule_pass();
    void run_pass();

    boost::asio::io_context& context_;
    controlled_delay delay_;
    std::deque<waiting_request> waiting_;
    bool is_scheduled_ = false;
};

} // namespace hibiscusferry

#endif
