#ifndef HIBISCUSFERRY_CONTROLLER_AUTHORITY_SERVICE_AUTHORITY_HPP
#define HIBISCUSFERRY_CONTROLLER_AUTHORITY_SERVICE_AUTHORITY_HPP

#include "authority/authority.hpp"
#include "controller/authority/router_link.hpp"
#include "controller/authority/target_orders.hpp"
#include "document/document.hpp"
#include "roles/roles.hpp"
#include "runtime/runtime.hpp"
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** This controller's participation in the authority over one model service:
    the lease and, while it is held, the fences, orders, drains and roles.

    Executes the decisions of the authority and roles modules. The handlers of
    calls in flight keep the object alive.
*/
class service_authority : public std::enable_shared_from_this<service_authority>
{
public:
    service_authority(process_core& core, table_store& table,
                      router_link& routers, const service_document& document);
    service_authority(const service_authority&) = delete;
    service_authority& operator=(const service_authority&) = delete;

    void set_document(const service_document& document);
    void set_live_hosts(const std::vector<std::string>& hosts);
    void set_targets(const std::vector<listed_host>& targets);

    /** Must be called about every 100 ms. */
    void tick();

    /** Releases the lease for a planned stop. */
    void release();

    /** Whether no order or write of this process can still take effect. */
    bool is_settled() const;

    /** Grants a permission to a router; std::nullopt when this process is not
        a lease holder that can grant permissions. */
    std::optional<permission_grant>
    permission_requested(const std::string& router);

    /** Records that a router confirmed a stop. */
    void confirmed(const drain_confirmation& confirmation);

    /** Records the load report of a router. */
    void router_reported(const router_load_report& report);

    /** The host of the last observed lease holder. On hosts that do not read
        the lease it is the first candidate for it. */
    std::string holder_host() const;

    bool is_holder() const;
    std::uint64_t fencing_number() const;
    std::vector<unsettled_order> unsettled() const;

private:
    /** The state that exists while the lease is held, and after its loss
        until the order book is retired. */
    struct holder_state
    {
        holder_state(const fence_raiser& initial_fences,
                     const order_book& initial_book,
                     const drain_coordinator& initial_drains,
                     role_policy initial_policy);

        fence_raiser fences;
        order_book book;
        drain_coordinator drains;
        role_policy policy;
        bool is_retired = false;
        time_point next_decision;
        time_point next_load_poll;
    };

    void carry_out(const lease_actions& actions);
    void acquired();
    void lost();
    void tick_as_holder();
    void raise_fences();
    void carry_out(const order_actions& actions);
    void commit(const table_transaction& transaction);
    void scan(const order_scan& request);
    void send(const send_order& order);
    void order_response_received(const send_order& order,
                                 order_response response);
    void settled(const order_record& record);
    void carry_out(const drain_actions& actions);
    void poll_loads();
    void load_received(const std::string& target, time_point polled_at,
                       const result<target_load_report>& load);
    void decide_roles();
    void request_change(const role_change& change);
    std::optional<http_endpoint> endpoint_of(const std::string& target) const;
    std::vector<std::string> target_ids() const;
    order_settings settings_for_orders() const;

    process_core& core_;
    table_store& table_;
    router_link& routers_;
    target_orders calls_;
    service_document document_;
    std::map<std::string, listed_host> targets_;
    lease_holder lease_;
    std::optional<holder_state> holder_state_;
    std::string first_candidate_;
};

} // namespace hibiscusferry

#endif
