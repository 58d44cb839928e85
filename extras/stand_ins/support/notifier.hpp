#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_NOTIFIER_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_NOTIFIER_HPP

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace hibiscusferry::stand_ins
{

/** Wakes coroutines that wait for a change. Must outlive them. */
class notifier
{
public:
    explicit notifier(boost::asio::io_context& context);

    /** Suspends the calling coroutine until notify_all or the limit. */
    void wait(std::chrono::milliseconds limit,
              boost::asio::yield_context yield);

    void notify_all();

private:
    boost::asio::io_context& context_;
    std::set<boost::asio::steady_timer*> waiting_;
};

} // namespace hibiscusferry::stand_ins

#endif
