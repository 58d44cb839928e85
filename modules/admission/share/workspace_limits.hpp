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

/** What the limits say of a request. */
struct limit_decision
{
    /** False: refuse it as over_limit, with this Retry-After. */
    bool admitted = true;
    /** The lane to wait in: an urgent request beyond its workspace's urgent
        rate is admitted, but waits as a normal one. */
    queue_lane lane = queue_lane::normal;
    std::chrono::seconds retry_after{0};
};

/** Keeps workspaces' rates over all entry hosts, of which this host sees a
    fraction.

    What workspaces offer is summed over all hosts (share_aggregator). When the
    demand is above a limit, every host admits the same fraction, limit over
    demand, of what it is offered: global random drop of Raghavan et al.,
    "Cloud Control with Distributed Rate Limiting", SIGCOMM 2007, with a
    remainder carried from request to request in place of the coin. A host
    that has not heard the demand for `answer_lifetime` (new, cut off, or the
    home is lost) keeps to an even part of the limit; no host ever admits more
    than the whole limit by itself.

    Reports tell only what has changed, only of workspaces with a limit, and
    wait when the byte budget is used up, the most significant ones first.
    Used from one thread.
*/
class workspace_limits
{
public:
    /** Call reports() this often. */
    static constexpr std::chrono::seconds report_interval{2};
    /** Small amounts are reported after this time. */
    static constexpr std::chrono::seconds greatest_report_delay{8};
    static constexpr std::chrono::seconds answer_lifetime{10};
    /** Buckets hold this long a time's worth of their rate. */
    static constexpr std::chrono::seconds bucket_time{5};
    /** Bytes a second that reports may take, with transport. */
    static constexpr double bytes_per_second = 400;

    /** @param host  this host's id
        @param incarnation  differs from that before a restart */
    workspace_limits(std::string host, std::uint64_t incarnation,
                     time_point now);

    /** Sets the limits of a service's workspaces from its document. */
    void configure(const service_document& document, time_point now);

    /** Sets how many entry hosts there are: the length of the platform's
        list, also when some cannot be reached, so that a cut-off host does
        not take the whole limit for itself. */
    void hosts_changed(std::size_t host_count, time_point now);

    /** Decides on a request as it arrives and counts its cost as offered.
        A workspace without limits is always admitted. */
    limit_decision admit(const std::string& service,
                         const std::string& workspace, queue_lane lane,
                         double cost, time_point now);

    /** The reports that are due; those to this host itself are to be handed
        to its own share_aggregator. */
    std::vector<addressed_report> reports(const share_layout& layout,
                                          time_point now);

    /** Takes an answer that is not `to_relay`. */
    void answer(const demand_response& answer, time_point now);

    /** Limits that this host holds state for. */
    std::size_t size() const;

private:
    struct limit_state
    {
        double limit = 0;
        /** What was offered, in whole tokens and the rest. */
        std::uint64_t offered = 0;
        double offered_rest = 0;
        std::uint64_t reported = 0;
        time_point reported_at;
        std::optional<double> demand;
        time_point demand_at;
        /** What the fraction allows beyond what was admitted. */
        double credit = 0;
        /** An even part of the limit, for want of an answer. */
        token_bucket part;
        /** The whole limit. */
        token_bucket whole;
        /** What is offered here. */
        demand_meter local;
    };

    /** 0 for no limit. */
    struct workspace_keys
    {
        share_key all = 0;
        share_key urgent = 0;
    };

    using workspaces_by_name = std::unordered_map<std::string, workspace_keys>;

    share_key configure_limit(const std::string& service,
                              const std::string& workspace, queue_lane lane,
                              double limit, time_point now);
    void remove_unlisted(const service_document& document);
    double even_part(const limit_state& state) const;
    bool knows_demand(const limit_state& state, time_point now) const;
    bool admit_one(share_key key, double cost, time_point now);
    double phase(share_key key) const;
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
