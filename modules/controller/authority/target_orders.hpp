#ifndef HIBISCUSFERRY_CONTROLLER_AUTHORITY_TARGET_ORDERS_HPP
#define HIBISCUSFERRY_CONTROLLER_AUTHORITY_TARGET_ORDERS_HPP

#include "authority/authority.hpp"
#include "http/http.hpp"
#include "roles/roles.hpp"
#include <functional>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The load of a target as polled by the lease holder of its service. */
struct target_load_report
{
    engine_report report;
    /** Whether the target has no request in flight. */
    bool is_idle = false;
    /** The age of the report as stated by the target. */
    std::chrono::milliseconds age{0};
};

/** The HTTP calls that a lease holder makes to its targets; see
    docs/INTERFACES.md.

    Each handler is called exactly once. */
class target_orders
{
public:
    target_orders(boost::asio::io_context& context, http_connection_pool& pool);

    /** Sends an order over a new connection. */
    void send(const http_endpoint& endpoint, const send_order& order,
              std::function<void(order_response)> handler);

    /** Raises the fencing number of a target; the handler receives the highest
        number that the target has accepted. */
    void raise_fence(const http_endpoint& endpoint,
                     std::uint64_t fencing_number,
                     std::function<void(result<std::uint64_t>)> handler);

    /** Polls the load of a target; the engine id and the time of the report
        are left unset. */
    void poll_load(const http_endpoint& endpoint,
                   std::function<void(result<target_load_report>)> handler);

private:
    boost::asio::io_context& context_;
    http_connection_pool& pool_;
};

} // namespace hibiscusferry

#endif
