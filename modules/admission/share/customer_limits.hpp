#ifndef HIBISCUSFERRY_ADMISSION_SHARE_CUSTOMER_LIMITS_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_CUSTOMER_LIMITS_HPP

#include "admission/limits/token_bucket.hpp"
#include "admission/queue/queued_request.hpp"
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
    /** The lane to wait in: an urgent request beyond its customer's urgent
        rate is admitted, but waits as a normal one. */
    queue_lane lane = queue_lane::normal;
    std::chrono::seconds retry_after{0};
};

/** Keeps customers' rates over all entry hosts, of which this host sees a
    fraction.

    Each limit has a home host, which sums what the customer offers at all
    hosts (share_home). When the demand is above the limit, every host admits
    the same fraction, limit over demand, of what it is offered: global random
    drop of Raghavan et al., "Cloud Control with Distributed Rate Limiting",
    SIGCOMM 2007, with an error carried from request to request in place of
    the coin. A host that has not heard the demand for `answer_lifetime` (new,
    cut off, or the home is lost) keeps to an even part of the limit; no host
    ever admits more than the whole limit by itself.

    Reports tell only what has changed, only of customers with a limit, and
    wait when the byte budget is used up, the most significant ones first.
    Used from one thread.
*/
class customer_limits
{
public:
    static constexpr std::chrono::seconds report_interval{2};
    static constexpr std::chrono::seconds answer_lifetime{10};
    /** Buckets hold this long a time's worth of their rate. */
    static constexpr std::chrono::seconds bucket_time{5};
    /** Bytes a second that reports may take, with transport. */
    static constexpr double report_bytes_per_second = 700;
    /** Bytes that the transport adds to each message. */
    static constexpr std::size_t transport_bytes = 60;

    /** @param host  this host's id
        @param incarnation  differs from that before a restart */
    customer_limits(std::string host, std::uint64_t incarnation);

    /** Sets the limits of a service's customers from its document. */
    void configure(const service_document& document, time_point now);

    /** Sets how many entry hosts there are: the length of the platform's
        list, also when some cannot be reached, so that a cut-off host does
        not take the whole limit for itself. */
    void hosts_changed(std::size_t host_count, time_point now);

    /** Decides on a request as it arrives and counts its cost as offered.
        A customer without limits is always admitted. */
    limit_decision admit(const std::string& service,
                         const std::string& customer, queue_lane lane,
                         double cost, time_point now);

    /** The reports that are due. Call every report_interval.
        @param live_hosts  stable_hash of the ids of the live entry hosts
                           that membership knows, this one included; the
                           same on all hosts once they agree */
    std::vector<addressed_report>
    reports(const std::vector<std::uint64_t>& live_hosts, time_point now);

    /** Takes an answer from a home (also from this host itself). */
    void answer(const demand_answer& answer, time_point now);

    /** Limits that this host holds state for. */
    std::size_t size() const;

private:
    struct limit_state
    {
        double limit = 0;
        std::uint64_t offered = 0;
        double offered_fraction = 0;
        std::uint64_t reported = 0;
        time_point reported_at;
        std::optional<double> demand;
        time_point demand_at;
        /** What has been admitted less than the fraction allows. */
        double credit = 0;
        /** An even part of the limit, for want of an answer. */
        token_bucket part;
        /** The whole limit. */
        token_bucket whole;
        /** Running mean of what is offered here a second. */
        double local_demand = 0;
        time_point local_demand_at;
        std::uint64_t document_version = 0;
    };

    struct customer_keys
    {
        share_key all = 0;
        share_key urgent = 0;
    };

    void configure_limit(share_key key, double limit, time_point now);
    bool admit_one(limit_state& state, double cost, time_point now) const;
    std::chrono::seconds retry_after(const limit_state& state,
                                     time_point now) const;
    bool wants_answer(const limit_state& state, time_point now) const;

    std::string host_;
    std::uint64_t incarnation_;
    std::uint64_t sequence_ = 0;
    std::size_t host_count_ = 1;
    std::uint64_t document_version_ = 0;
    double byte_budget_ = 0;
    time_point budgeted_at_;
    std::unordered_map<std::string,
                       std::unordered_map<std::string, customer_keys>>
        services_;
    std::unordered_map<share_key, limit_state> limits_;
};

} // namespace hibiscusferry

#endif
