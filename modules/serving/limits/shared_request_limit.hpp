#ifndef HIBISCUSFERRY_SERVING_LIMITS_SHARED_REQUEST_LIMIT_HPP
#define HIBISCUSFERRY_SERVING_LIMITS_SHARED_REQUEST_LIMIT_HPP

#include "foundation/foundation.hpp"
#include "sharing/sharing.hpp"
#include <array>
#include <chrono>
#include <deque>
#include <optional>

namespace hibiscusferry
{

/** The limit on the requests per second that a target takes from all hosts
    together.

    No host owns the limit. Hosts report to each other how many requests they
    have sent recently, and how many they would send without the limit. Every
    host admits a request with the probability at which all hosts together send
    what the limit leaves, so that each host and each workspace gets a share in
    proportion to its demand. More urgent requests are admitted first. A host
    that hears only some of the others keeps to the part of the limit that is
    theirs; see docs/design/request-limits.md.
*/
class shared_request_limit
{
public:
    // =================================================================
    // The limit

    /** Applies what a response of the target states.
        @param rate     requests per second; none if the response has no limit
        @param sent_at  when the request of that response was sent; the response
                        cannot end a limit that was stated after that
        @returns whether the limit has begun, ended or changed */
    bool record_response(std::optional<double> rate, time_point sent_at,
                         time_point now);

    /** Applies the sum of the reports of the other hosts.
        @param sum    null if no other host has reported on this target
        @param hosts  the number of other hosts from which reports arrive
        @returns whether the limit has begun, ended or changed */
    bool apply_reports(const request_limit_report* sum, std::size_t hosts,
                       time_point now);

    /** Requests per second; none if the target has no limit. */
    std::optional<double> rate(time_point now) const;

    // =================================================================
    // Requests

    /** Decides whether a request may be sent, and counts it if so. Without a
        limit, it may.
        @param rank          the rank of the request; see route::rank
        @param live_hosts    the number of hosts that share the limit
        @param random_value  uniformly distributed between 0 and 1 */
    bool try_acquire(unsigned rank, std::size_t live_hosts, double random_value,
                     time_point now);

    /** Counts a request that is sent regardless of the limit. */
    void record_request(time_point now);

    /** Returns the admission of a request that was not sent.
        @param acquired_at  the time of try_acquire() */
    void release(time_point acquired_at);

    /** The requests per second that hosts would send without the limit, of this
        rank and more urgent ones. */
    double demand(unsigned rank, time_point now) const;

    /** The report of this host; none if the others need to know nothing of
        it. */
    std::optional<request_limit_report> report(time_point now);

private:
    struct statement
    {
        /** Requests per second; none for no limit. */
        std::optional<double> rate;
        time_point made_at{};
    };

    /** The part of the limit that the hosts in contact with this one share. */
    struct allowance
    {
        /** Requests per second. */
        double rate = 0;
        /** Maximum number of requests in a window. */
        double requests = 0;
        std::chrono::duration<double> window{0};
    };

    bool is_in_contact(time_point now) const;
    /** Updates the part of the limit that belongs to the hosts in contact.
        Starts anew with that of this host alone when reports cease. */
    void update_share(std::size_t live_hosts, double random_value,
                      time_point now);
    allowance current_allowance() const;
    /** Discards the requests that were sent before the window. */
    void discard_old_requests(time_point now);
    /** The rate at which requests may be sent now, by all hosts in contact. */
    double available_rate(time_point now);
    /** @returns whether the limit has begun, ended or changed */
    bool adopt(const statement& newest, time_point now);
    std::chrono::duration<double> demand_time() const;
    void count_demand(unsigned rank, time_point now);
    std::array<double, urgent_rank_count + 1> own_demand(time_point now) const;
    static std::size_t rank_index(unsigned rank);

    /** The newest statement of the target that is known to any host. */
    statement newest_;
    /** The newest one that this host has received in a response. Only this one
        is reported: its age grows a little with each host that passes it on. */
    std::optional<statement> observed_;
    /** Until then no request is admitted. */
    time_point used_up_until_{};
    /** The part of the limit that belongs to the hosts in contact. */
    double share_ = 1;
    /** Sum of the admission probabilities of requests since the last one that
        was admitted, by rank_index(); random at first, so that hosts do not
        admit requests at the same time. */
    std::array<double, urgent_rank_count + 1> credit_{};
    bool is_credit_initialized_ = false;

    /** When this host sent its recent requests. */
    std::deque<time_point> requests_;
    /** Requests per second by rank_index(), as a decaying average. */
    std::array<double, urgent_rank_count + 1> demand_{};
    time_point demand_updated_at_{};

    /** The sum over the other hosts. */
    request_limit_report remote_;
    std::size_t remote_hosts_ = 0;
    std::optional<time_point> remote_received_at_;
    /** Average interval between reports. */
    std::chrono::duration<double> report_interval_{0};
};

} // namespace hibiscusferry

#endif
