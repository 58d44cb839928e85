#ifndef HIBISCUSFERRY_EXTRAS_SOAK_TCP_PROXY_HPP
#define HIBISCUSFERRY_EXTRAS_SOAK_TCP_PROXY_HPP

#include "wire.hpp"
#include <atomic>
#include <memory>
#include <string>

namespace hibiscusferry::soak
{

/** Forwards connections to a listener at the same address. Ends of connections
    are passed on as they come: an end as an end, a reset as a reset.
    Thread-safe. */
class tcp_proxy
{
public:
    tcp_proxy(const std::string& address, std::uint16_t upstream_port);
    tcp_proxy(const tcp_proxy&) = delete;
    tcp_proxy& operator=(const tcp_proxy&) = delete;

    std::uint16_t port() const;

    /** Delays all bytes from now on. */
    void delay(review::milliseconds duration);
    /** New connections are accepted, and nothing is forwarded on them. */
    void block(bool is_blocked);
    /** Resets the connections that are open now. */
    void reset_connections();
    /** The connections that are open now go silent for good.
        @param towards_target  whether requests are lost
        @param from_target  whether responses are lost */
    void silence_connections(bool towards_target, bool from_target);

private:
    enum class flow
    {
        open,
        ended,
        reset
    };

    void serve(review::connection& caller);
    void forward_both_ways(review::connection& caller,
                           review::connection& target);
    /** Forwards what has arrived, or the end of the connection. */
    static flow forward(review::connection& from, review::connection& to,
                        bool is_lost);

    std::string address_;
    std::uint16_t upstream_port_;
    std::atomic<int> delay_ms_{0};
    std::atomic<bool> is_blocked_{false};
    std::atomic<int> resets_{0};
    std::atomic<int> lost_requests_{0};
    std::atomic<int> lost_responses_{0};
    std::unique_ptr<review::listener> listener_;
};

} // namespace hibiscusferry::soak

#endif
