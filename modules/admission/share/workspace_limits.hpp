#ifndef HIBISCUSFERRY_ADMISSION_SHARE_WORKSPACE_LIMITS_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_WORKSPACE_LIMITS_HPP

#include "admission/limits/token_bucket.hpp"
#include "admission/queue/queued_request.hpp"
#include "admission/share/demand_meter.hpp"
#include "admission/share/share_layout.hpp"
#include "admission/share/share_messages.hpp"
#include "document/document.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** The decision of the limits on a request. */
struct limit_decision
{
    /** False if the request must be refused as over_limit with this
        `retry_after`. */
    bool admitted = true;
    /** The lane in which to queue the request. An urgent request beyond its
        workspace's urgent rate is admitted but queued as a normal one. */
    queue_lane lane = queue_lane::normal;
    std::chrono::seconds retry_after{0};
};

/** Enforces the rate limits of workspaces across all entry hosts, while this
    host receives only part of the requests.

    The tokens that workspaces offer are summed over all hosts
    (share_aggregator). When the demand exceeds a limit, every host admits the
    same fraction of the tokens it is offered: the limit divided by the demand.
    This is the global random drop of Raghavan et al., "Cloud Control with
    Distributed Rate Limiting", SIGCOMM 2007, with a remainder carried from
    request to request instead of a random choice. A host that has received no
    demand for `demand_lifetime`, because it is new, is cut off from the
    others, or the owner has failed, applies an even share of the limit. No
    host ever admits more than the whole limit.

    Reports contain only changes, and only those of workspaces with a limit.
    When the byte budget is used up, they are delayed, and the most significant
    ones are sent first. Used from one thread.
*/
class workspace_limits
{
public:
    /** Interval between calls of reports(). */
    static constexpr std::chrono::seconds report_interval{2};
    /** Maximum delay before small amounts are reported. */
    static constexpr std::chrono::seconds max_report_delay{8};
    static constexpr std::chrono::seconds demand_lifetime{10};
    /** A bucket holds the tokens of its rate for this time. */
    static constexpr std::chrono::seconds bucket_duration{5};
    /** Byte budget per second for reports, including the transport
        overhead. */
    static constexpr double bytes_per_second = 400;

    /** @param host  this host's id
        @param incarnation  differs between runs of the process */
    workspace_limits(std::string host, std::uint64_t incarnation,
                     time_point now);

    /** Sets the limits of a service's workspaces from its document. */
    void configure(const service_document& document, time_point now);

    /** Sets the number of entry hosts. This is the length of the platform's
        list, including unreachable hosts, so that a host that is cut off from
        the others does not use the whole limit. */
    void hosts_changed(std::size_t host_count, time_point now);

    /** Decides on an arriving request and counts its cost as offered. Requests
        of a workspace without limits are always admitted. */
    limit_decision admit(const std::string& service,
                         const std::string& workspace, queue_lane lane,
                         double cost, time_point now);

    /** Returns the reports that are due. The caller must pass reports for this
        host to its own share_aggregator. */
    std::vector<addressed_report> reports(const share_layout& layout,
                                          time_point now);

    /** Processes a response that is not marked `to_relay`. */
    void answer(const demand_response& response, time_point now);

    /** Returns the number of limits for which this host holds state. */
    std::size_t size() const;

private:
    struct limit_state
    {
        double limit = 0;
        /** The offered cost, in whole tokens and a fractional remainder. */
        std::uint64_t offered = 0;
        double offered_remainder = 0;
        std::uint64_t reported = 0;
        time_point reported_at;
        std::optional<double> demand;
        time_point demand_at;
        /** The cost that the fraction allows beyond the admitted cost. */
        double credit = 0;
        /** An even share of the limit, used while the demand is unknown. */
        token_bucket share_bucket;
        /** The whole limit, which this host never exceeds. */
        token_bucket limit_bucket;
        /** The rate offered at this host. */
        demand_meter local_meter;
    };

    /** The keys of a workspace's limits; 0 for no limit. */
    struct workspace_keys
    {
        share_key all = 0;
        share_key urgent = 0;
    };

    using workspaces_by_name = std::unordered_map<std::string, workspace_keys>;

    share_key configure_limit(const std::string& service,
                              const std::string& workspace, queue_lane lane,
                              double limit, time_point now);
    void remove_unlisted_workspaces(const service_document& document);
    double even_share(const limit_state& state) const;
    bool has_current_demand(const limit_state& state, time_point now) const;
    bool admit_one(share_key key, double cost, time_point now);
    double initial_credit_fraction(share_key key) const;
    std::chrono::seconds retry_after(share_key key, time_point now) const;
    bool is_due(const limit_state& state, time_point now) const;
    bool needs_demand(const limit_state& state, time_point now) const;

    std::string host_;
    std::uint64_t host_hash_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::size_t host_count_ = 1;
    token_bucket report_budget_;
    std::unordered_map<std::string, workspaces_by_name> services_;
    std::unordered_map<share_key, limit_state> limits_;
};

} // namespace hibiscusferry

#endif
