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

/** A router's state for one service: its document, its queue, its retry
    budget, and its targets. */
class served_service
{
public:
    served_service(process_core& core, const service_document& document);
    served_service(const served_service&) = delete;
    served_service& operator=(const served_service&) = delete;

    /** Applies a newer document. Requests in flight continue under the limits
        of the previous one. */
    void configure(const service_document& document);

    /** Applies a snapshot of the host list. */
    void update_hosts(const host_list_snapshot& snapshot, time_point now);

    /** The number of requests that the available targets can accept from this
        router. */
    std::size_t capacity(time_point now) const;

    const service_document& document() const;
    const std::string& name() const;
    admission_gate& gate();
    cost_estimator& estimator();
    retry_budget& retries();
    target_table& targets();
    target_selector& selector();
    send_permission& permission();

    /** The permission that target selection must check; null for services
        whose targets receive no orders. */
    const send_permission* required_permission() const;

    /** This router's load counters for the service's model since it started. */
    router_load_report load_report() const;

    // ====================================================================
    // Counters returned by load_report()

    void request_offered(std::uint64_t prefill_tokens);
    void request_refused();
    void request_finished(std::uint64_t decoded_tokens);

    /** The endpoint of a target, or std::nullopt when the target is no longer
        listed. */
    std::optional<http_endpoint> endpoint_of(const std::string& target) const;

private:
    process_core& core_;
    service_document document_;
    admission_gate gate_;
    cost_estimator estimator_;
    retry_budget retries_;
    target_table targets_;
    target_selector selector_;
    send_permission permission_;
    router_load_report load_;
    time_point started_;
    std::size_t router_count_ = 1;
};

} // namespace hibiscusferry

#endif
