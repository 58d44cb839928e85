#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_NOTIFIER_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_NOTIFIER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace hibiscusferry::stand_ins
{

/** Wakes coroutines that wait for a change. It must outlive the waiting
    coroutines. */
class notifier
{
public:
    explicit notifier(boost::asio::io_context& context);

    /** Suspends the calling coroutine until notify_all() is called or the
        timeout expires. */
    void wait(std::chrono::milliseconds timeout,
              boost::asio::yield_context yield);

    void notify_all();

private:
    boost::asio::io_context& context_;
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace hibiscusferry::stand_ins

#endif
