#include "gateway/process/request_intake.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

namespace hibiscusferry
{

namespace
{

/** Limits how long the requests in flight wait while expired ones are
    refused. */
constexpr std::size_t max_requests_per_pass = 32;

} // namespace

request_intake::request_intake(boost::asio::io_context& context)
    : context_(context)
{
}

controlled_delay& request_intake::delay()
{
    return delay_;
}

bool request_intake::wait_for_turn(time_point arrived_at,
                                   boost::asio::yield_context yield)
{
    if (waiting_.empty())
        delay_.record_empty_queue(boot_clock::now());
    boost::asio::async_completion<boost::asio::yield_context, void()>
        completion(yield);
    bool is_admitted = false;
    waiting_.push_back(
        {arrived_at, &is_admitted, completion.completion_handler});
    schedule_pass();
    completion.result.get();
    return is_admitted;
}

std::size_t request_intake::size() const
{
    return waiting_.size();
}

void request_intake::schedule_pass()
{
    if (is_scheduled_ || waiting_.empty())
        return;
    is_scheduled_ = true;
    boost::asio::post(context_,
                      [this]
                      {
                          is_scheduled_ = false;
                          run_pass();
                      });
}

void request_intake::run_pass()
{
    bool is_admitted = false;
    for (std::size_t count = 0;
         count < max_requests_per_pass && !is_admitted && !waiting_.empty();
         ++count)
    {
        const waiting_request next = std::move(waiting_.front());
        waiting_.pop_front();
        const time_point now = boot_clock::now();
        is_admitted = delay_.admits(now - next.arrived_at, now);
        *next.is_admitted = is_admitted;
        next.resume();
    }
    schedule_pass();
}

} // namespace hibiscusferry
