#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_FAIR_QUEUE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_FAIR_QUEUE_HPP

#include "admission/queue/drain_rate.hpp"
#include "admission/queue/queued_request.hpp"
#include "admission/queue/waiting_requests.hpp"
#include "admission/queue/workspace_schedule.hpp"
#include "document/document.hpp"
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry
{

/** Limits of a fair queue. */
struct fair_queue_settings
{
    /** Maximum number of waiting requests. */
    std::uint32_t capacity = 256;
    /** The share of the service, in weighted tokens, that is reserved for
        normal requests while urgent requests are waiting. */
    double normal_share = 0.2;
    /** While normal requests are waiting, a workspace's urgent requests take
        precedence only up to this multiple of its fair share ... */
    double urgent_factor = 4;
    /** ... plus this burst in weighted tokens, for a weight of 1. */
    double urgent_burst = 2000;
};

/** A weighted fair queue of the requests of one service that wait at this
    host for a target.

    Each workspace has a virtual time: the weighted tokens it has been served,
    divided by its weight. The next request is the oldest one of the workspace
    with the smallest virtual time. When an idle workspace becomes active, its
    virtual time is raised to the smallest one of the waiting workspaces, so
    that idle workspaces do not accumulate credit. This is the virtual token
    counter of Sheng et al., "Fairness in Serving Large Language Models", OSDI
    2024, extended by weights. The estimated cost is charged when a request is
    dequeued and corrected when its response ends.

    Urgent requests precede normal ones. Each lane has its own virtual times,
    so that a flood of urgent requests from one workspace does not delay the
    urgent requests of others, and a bounded share is reserved for normal
    requests. While normal requests are waiting, a workspace's urgent requests
    beyond a few times its fair share lose their precedence; otherwise a heavy
    subscriber could mark its requests as urgent to evade fair sharing. While a
    workspace has normal requests waiting, its urgent service is also charged
    to its normal virtual time, so that marking some requests as urgent does
    not increase its share.

    A full queue sheds the newest request of the workspace with the largest
    backlog behind its first request. The new request is therefore refused only
    if it belongs to that workspace. Half of the capacity is reserved for each
    lane.

    There is one queue per service, used from one thread. All operations are
    O(log n) in the number of workspaces and of waiting requests. Requests
    returned as refusals have been removed from the queue, and each of them
    receives its final response immediately.
*/
class fair_queue
{
public:
    explicit fair_queue(const fair_queue_settings& settings);

    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /** Sets the workspace weights and the queue length from a document.
        Workspaces that are not listed have the weight 1.
        @returns the requests shed because the queue has become shorter */
    std::vector<request_refusal> configure(const service_document& document,
                                           time_point now);

    /** Adds a request to the queue.
        @returns the requests refused as a result: the new one, if it would
                 exceed its deadline or its workspace has the largest backlog
                 in a full queue, or another one that was shed to make room;
                 empty in most cases */
    std::vector<request_refusal> offer(const queued_request& request,
                                       time_point now);

    /** Removes the next request to run from the queue and charges its
        estimated cost. Call this when a target has capacity. Call expire()
        first, so that requests past their deadline are not returned. */
    std::optional<queued_request> take(time_point now);

    /** Returns a dequeued request that did not run to the front of its
        workspace's requests and refunds its charge, for a retry. */
    void requeue(const queued_request& request, time_point now);

    /** Refuses the requests that can no longer complete by their deadline.
        Call this at next_expiry(). */
    std::vector<request_refusal> expire(time_point now);

    /** Returns when the next request expires, or none if no request is
        waiting. */
    std::optional<time_point> next_expiry() const;

    /** Removes a waiting request whose caller has disconnected.
        @returns false if the request is not waiting */
    bool cancel(request_number number);

    /** Corrects the charge of a dequeued request that has ended.
        @param actual_cost  its actual cost in weighted tokens; 0 if it did
                            not run */
    void finish(request_number number, double actual_cost);

    /** Return the number of waiting requests, in total or in one lane. */
    std::size_t size() const;
    std::size_t size(queue_lane lane) const;

    /** Returns the weighted tokens dequeued per second while requests were
        waiting, or none before the first measurement. */
    std::optional<double> measured_rate() const;

    /** Returns how long a request of this cost would wait if it were added
        now. */
    std::chrono::milliseconds expected_wait(const std::string& workspace,
                                            queue_lane lane, double cost) const;

    /** Returns the workspace's virtual time in weighted tokens divided by its
        weight, for /status and tests; 0 for an unknown workspace. */
    double workspace_virtual_time(const std::string& workspace,
                                  queue_lane lane) const;

private:
    struct workspace_state
    {
        std::string name;
        double weight = 1;
        /** The virtual time up to which its urgent requests have used their
            precedence over normal requests, on the scale of the normal
            lane. */
        double urgent_tag = 0;
        /** Dequeued requests that have not finished. */
        std::uint32_t running = 0;
        bool listed = false;
    };

    struct charge
    {
        std::uint32_t workspace = 0;
        queue_lane lane = queue_lane::normal;
        double cost = 0;
    };

    std::uint32_t index_of(const std::string& workspace);
    std::optional<std::uint32_t> find(const std::string& workspace) const;
    void remove_if_idle(std::uint32_t workspace);
    workspace_schedule& lane_of(queue_lane lane);
    const workspace_schedule& lane_of(queue_lane lane) const;
    struct selection
    {
        queue_lane lane = queue_lane::normal;
        std::uint32_t workspace = 0;
    };

    selection select_next() const;
    bool is_within_urgent_share(std::uint32_t workspace) const;
    void charge_selection(const selection& selected, double cost);
    queue_lane lane_to_shed(queue_lane new_request_lane) const;
    double max_wait_cost(const workspace_schedule& lane, double own_cost,
                         double own_weight) const;
    std::uint32_t enqueue(const queued_request& request, bool at_front);
    void remove(std::uint32_t slot);
    request_refusal refuse(std::uint32_t slot, refusal_reason reason);
    request_refusal refuse(const queued_request& request,
                           refusal_reason reason) const;
    void shed_excess(queue_lane new_request_lane,
                     std::vector<request_refusal>& refusals);
    std::chrono::seconds retry_after(const queued_request& request) const;

    fair_queue_settings settings_;
    waiting_requests waiting_;
    workspace_schedule urgent_;
    workspace_schedule normal_;
    std::vector<workspace_state> workspaces_;
    std::vector<std::uint32_t> free_workspaces_;
    std::unordered_map<std::string, std::uint32_t> indexes_;
    std::unordered_map<request_number, charge> charges_;
    drain_rate rate_;
    /** Cost that normal requests may use for the urgent requests served since
        the last normal one. */
    double normal_credit_ = 0;
};

} // namespace hibiscusferry

#endif
