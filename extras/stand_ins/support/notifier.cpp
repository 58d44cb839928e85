#include "stand_ins/support/notifier.hpp"

namespace hibiscusferry::stand_ins
{

notifier::notifier(boost::asio::io_context& context)
    : context_(context)
{
}

void notifier::wait(std::chrono::milliseconds timeout,
                    boost::asio::yield_context yield)
{
    boost::asio::steady_timer timer(context_);
    timer.expires_after(timeout);
    waiting_.insert(&timer);
    boost::system::error_code ignored;
    timer.async_wait(yield[ignored]);
    waiting_.erase(&timer);
}

void notifier::notify_all()
{
    for (boost::asio::steady_timer* const timer : waiting_)
        timer->cancel();
}

} // namespace hibiscusferry::stand_ins
