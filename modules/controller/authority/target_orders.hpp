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

/** A target's load, as the holder of its service's authority reads it. */
struct target_load_reading
{
    engine_report report;
    /** Whether it holds no request. */
    bool is_idle = false;
    /** The age that the target gave for its report. */
    std::chrono::milliseconds age{0};
};

/** The calls that a holder makes at its targets (docs/INTERFACES.md).

    Each handler is called once. */
class target_orders
{
public:
    target_orders(boost::asio::io_context& context, http_connection_pool& pool);

    /** Sends an order over a connection of its own. */
    void send(const http_endpoint& endpoint, const send_order& order,
              std::function<void(order_response)> handler);

    /** Raises the fencing number; gives the greatest one the target knows. */
    void raise_fence(const http_endpoint& endpoint,
                     std::uint64_t fencing_number,
                     std::function<void(result<std::uint64_t>)> handler);

    /** Reads the load; the report has no engine id and no time yet. */
    void read_load(const http_endpoint& endpoint,
                   std::function<void(result<target_load_reading>)> handler);

private:
    boost::asio::io_context& context_;
    http_connection_pool& pool_;
};

} // namespace hibiscusferry

#endif
