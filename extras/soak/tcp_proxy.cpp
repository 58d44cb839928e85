#include "soak/tcp_proxy.hpp"

#include <cerrno>
#include <poll.h>
#include <sys/socket.h>
#include <thread>

namespace hibiscusferry::soak
{

using review::connection;
using review::milliseconds;

namespace
{

constexpr int poll_interval_ms = 50;
constexpr milliseconds connect_timeout{1000};

} // namespace

tcp_proxy::tcp_proxy(const std::string& address, std::uint16_t upstream_port)
    : address_(address)
    , upstream_port_(upstream_port)
{
    listener_ = std::make_unique<review::listener>(
        address, 0, [this](connection& caller) { serve(caller); });
}

std::uint16_t tcp_proxy::port() const
{
    return listener_->port();
}

void tcp_proxy::delay(milliseconds duration)
{
    delay_ms_ = static_cast<int>(duration.count());
}

void tcp_proxy::block(bool is_blocked)
{
    is_blocked_ = is_blocked;
}

void tcp_proxy::reset_connections()
{
    ++resets_;
}

void tcp_proxy::silence_connections(bool towards_target, bool from_target)
{
    lost_requests_ += towards_target ? 1 : 0;
    lost_responses_ += from_target ? 1 : 0;
}

void tcp_proxy::serve(connection& caller)
{
    const int resets = resets_;
    while (is_blocked_)
    {
        std::this_thread::sleep_for(milliseconds(poll_interval_ms));
        if (caller.is_closed_by_peer() || resets != resets_)
        {
            caller.reset();
            return;
        }
    }
    const std::unique_ptr<connection> target =
        connection::open(address_, upstream_port_, connect_timeout);
    if (target)
        forward_both_ways(caller, *target);
    else
        caller.reset();
}

void tcp_proxy::forward_both_ways(connection& caller, connection& target)
{
    const int resets = resets_;
    const int lost_requests = lost_requests_;
    const int lost_responses = lost_responses_;
    flow requests = flow::open;
    flow responses = flow::open;
    // A connection that ended at the target only may still carry a request.
    while (requests == flow::open || responses == flow::open)
    {
        pollfd ready[2]{
            {requests == flow::open ? caller.descriptor() : -1, POLLIN, 0},
            {responses == flow::open ? target.descriptor() : -1, POLLIN, 0}};
        if (::poll(ready, 2, poll_interval_ms) < 0 && errno != EINTR)
            return;
        if (delay_ms_ > 0 && (ready[0].revents != 0 || ready[1].revents != 0))
            std::this_thread::sleep_for(milliseconds(delay_ms_));
        if (ready[1].revents != 0)
            responses =
                forward(target, caller, lost_responses != lost_responses_);
        if (ready[0].revents != 0)
            requests = forward(caller, target, lost_requests != lost_requests_);
        if (resets != resets_ || requests == flow::reset ||
            responses == flow::reset)
        {
            caller.reset();
            target.reset();
            return;
        }
    }
}

tcp_proxy::flow tcp_proxy::forward(connection& from, connection& to,
                                   bool is_lost)
{
    char bytes[16384];
    const ssize_t count =
        ::recv(from.descriptor(), bytes, sizeof bytes, MSG_DONTWAIT);
    if (count > 0)
    {
        const bool is_forwarded =
            is_lost ||
            to.write(std::string(bytes, static_cast<std::size_t>(count)));
        return is_forwarded ? flow::open : flow::reset;
    }
    if (count < 0 && (errno == EAGAIN || errno == EINTR))
        return flow::open;
    if (count < 0 && !is_lost)
        return flow::reset;
    if (!is_lost)
        ::shutdown(to.descriptor(), SHUT_WR);
    return flow::ended;
}

} // namespace hibiscusferry::soak
