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

/** This controller's part in the authority over one model service: the
    lease, and while it is held the fences, orders, drains and roles.

    Carries out what the authority and roles modules decide. Handlers of
    calls under way keep the object alive.
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

    /** To be called every 100 ms or so. */
    void tick();

    /** Gives the lease up for a planned stop. */
    void release();

    /** Whether nothing of this process can still take effect. */
    bool is_settled() const;

    /** The answer to a router's request, if this process is the holder. */
    std::optional<permission_grant>
    permission_requested(const std::string& router);

    /** A router confirmed a stop. */
    void confirmed(const drain_confirmation& confirmation);

    /** A router told what it has seen. */
    void router_reported(const router_load_report& report);

    /** The host of the holder as last seen; on hosts that do not look at the
        lease the one that is first in line for it. */
    std::string holder_host() const;

    bool is_holder() const;
    std::uint64_t fencing_number() const;
    std::vector<unsettled_order> unsettled() const;

private:
    /** What exists only while the lease is held, and until it is retired. */
    struct holding
    {
        holding(const fence_raiser& the_fences, const order_book& the_book,
                const drain_coordinator& the_drains, role_policy the_policy);

        fence_raiser fences;
        order_book book;
        drain_coordinator drains;
        role_policy policy;
        bool is_retired = false;
        time_point next_decision;
        time_point next_load_read;
    };

    void carry_out(const lease_actions& wanted);
    void acquired();
    void lost();
    void tick_holding();
    void raise_fences();
    void carry_out(const order_actions& wanted);
    void commit(const table_transaction& transaction);
    void scan(const order_scan& wanted);
    void send(const send_order& order);
    void order_answered(const send_order& order, order_response answer);
    void settled(const order_record& record);
    void carry_out(const drain_actions& wanted);
    void read_loads();
    void load_was_read(const std::string& target, time_point asked_at,
                       const result<target_load_reading>& reading);
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
    std::optional<holding> holding_;
    std::string first_in_line_;
};

} // namespace hibiscusferry

#endif
