#include "gateway/process/request_intake.hpp"

#include <boost/asio/async_result.hpp>
#include <boost/asio/post.hpp>

namespace hibiscusferry
{

request_intake::request_intake(boost::asio::io_context& context)
    : context_(context)
{
}

controlled_delay& request_intake::delay()
{
    return delay_;
}

void request_intake::wait_for_turn(boost::asio::yield_context yield)
{
    if (waiting_.empty())
        delay_.record_empty_queue(boot_clock::now());
    boost::asio::async_completion<boost::asio::yield_context, void()>
        completion(yield);
    waiting_.emplace_back(completion.completion_handler);
    schedule_next();
    completion.result.get();
}

std::size_t request_intake::size() const
{
    return waiting_.size();
}

void request_intake::schedule_next()
{
    if (is_scheduled_ || waiting_.empty())
        return;
    is_scheduled_ = true;
    boost::asio::post(context_,
                      [this]
                      {
                          is_scheduled_ = false;
                          resume_next();
                      });
}

void request_intake::resume_next()
{
    const std::function<void()> resume = std::move(waiting_.front());
    waiting_.pop_front();
    // Scheduled first: the coroutine may not return for a long time.
    schedule_next();
    resume();
}

} // namespace hibiscusferry
