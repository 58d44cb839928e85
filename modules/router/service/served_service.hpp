#ifndef HIBISCUSFERRY_ROUTER_SERVICE_SERVED_SERVICE_HPP
#define HIBISCUSFERRY_ROUTER_SERVICE_SERVED_SERVICE_HPP

#include "admission/admission.hpp"
#include "document/document.hpp"
#include "roles/roles.hpp"
#include "router/service/admission_gate.hpp"
#include "routing/routing.hpp"
#include "runtime/runtime.hpp"
#include <string>
#include <vector>

namespace hibiscusferry
{

/** All that a router holds for one service: its document, its queue, its
    budget for retries, and its targets. */
class served_service
{
public:
    served_service(process_core& core, const service_document& document);
    served_service(const served_service&) = delete;
    served_service& operator=(const served_service&) = delete;

    /** Takes over a newer document; requests that run go on by the former
        one's limits. */
    void configure(const service_document& document);

    /** Takes over a reading of the host list. */
    void take_hosts(const host_list_snapshot& reading, time_point now);

    /** How many requests of this router the usable targets can take. */
    std::size_t room(time_point now) const;

    const service_document& document() const;
    const std::string& name() const;
    admission_gate& gate();
    cost_estimator& estimator();
    retry_budget& retries();
    target_table& targets();
    target_selector& picker();
    send_permission& permission();

    /** The permission that a choice of target has to ask; null for services
        whose targets never change. */
    const send_permission* asked_permission() const;

    /** What this router has seen of the service's model since its start. */
    router_load_report load_report() const;

    // ====================================================================
    // What load_report() tells.

    void request_offered(std::uint64_t prefill_tokens);
    void request_refused();
    void request_finished(std::uint64_t decoded_tokens);

    /** Where a target listens; none when it is not known any more. */
    std::optional<http_endpoint> endpoint_of(const std::string& target) const;

private:
    process_core& core_;
    service_document document_;
    admission_gate gate_;
    cost_estimator estimator_;
    retry_budget retries_;
    target_table targets_;
    target_selector picker_;
    send_permission permission_;
    router_load_report load_;
    time_point started_;
    std::size_t router_count_ = 1;
};

} // namespace hibiscusferry

#endif
