#ifndef HIBISCUSFERRY_GATEWAY_STATE_TARGET_LIST_CONFIRMATION_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_TARGET_LIST_CONFIRMATION_HPP

#include "process/process.hpp"
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <list>
#include <memory>

namespace hibiscusferry
{

/** Lets requests wait until this host knows the list of targets as of a time
    that they name.

    The list is usually known as of some moments ago. While a request waits, the
    table service is to be read at once; all that wait share one read.
*/
class target_list_confirmation
{
public:
    explicit target_list_confirmation(process_core& core);

    /** Records that the list was complete as of a time. */
    void confirm(time_point as_of);

    /** Whether a request waits. */
    bool is_awaited() const;

    /** Waits until the list is known as of `as_of` or later.
        @returns false if it still is not after the timeout */
    bool wait(time_point as_of, std::chrono::milliseconds timeout,
              boost::asio::yield_context yield);

private:
    struct waiting_request
    {
        time_point as_of;
        boost::asio::steady_timer timer;
    };

    process_core& core_;
    time_point confirmed_as_of_{};
    std::list<std::shared_ptr<waiting_request>> waiting_;
};

} // namespace hibiscusferry

#endif
