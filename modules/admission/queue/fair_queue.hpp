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
    /** Requests that may wait. */
    std::uint32_t capacity = 256;
    /** The share of the service, in weighted tokens, that normal work keeps
        while urgent work is waiting too. */
    double normal_share = 0.2;
    /** While normal work waits, a workspace's urgent work goes first only up
        to this many times its fair share ... */
    double urgent_factor = 4;
    /** ... and this many weighted tokens, for a weight of 1. */
    double urgent_burst = 2000;
};

/** The requests of one service that wait at this host for a target.

    Each workspace has a counter of the weighted tokens that it was served,
    divided by its weight; the next request is the oldest one of the workspace
    with the smallest counter. A workspace that comes back from idleness is
    lifted to the smallest counter of those waiting, so that no credit is
    banked. This is the virtual token counter of Sheng et al., "Fairness in
    Serving Large Language Models", OSDI 2024, with weights, with the
    estimated cost charged when a request is taken and corrected when its
    answer ends.

    Urgent requests go before normal ones. Each lane has its own counters, so
    that one workspace's urgent flood does not hold up the urgent requests of
    others, and normal work keeps a bounded share. A workspace's urgent work
    beyond a few times its fair share goes first no more while normal work
    waits, or a heavy subscriber would hide there. While a workspace has normal
    work waiting, its urgent service counts towards its normal counter too: to
    call a part of one's work urgent gains no share.

    A full queue sheds the newest request of the workspace that has most cost
    waiting behind its first request; the newcomer is refused only if that is
    its own workspace. Half of the places are kept for each lane.

    One per service, used from one thread. All operations are O(log n) in
    workspaces and waiting requests. Requests that are returned as refusals are
    out of the queue; each gets its final answer at once.
*/
class fair_queue
{
public:
    explicit fair_queue(const fair_queue_settings& settings);

    fair_queue(const fair_queue&) = delete;
    fair_queue& operator=(const fair_queue&) = delete;

    /** Sets the weights of the document's workspaces and its queue length.
        A workspace that it does not list has the weight 1. A shorter queue
        sheds what is too much. */
    std::vector<request_refusal> configure(const service_document& document,
                                           time_point now);

    /** Puts a request into the queue.
        @returns the requests refused thereby: the new one, because it would
                 be late or its workspace fills the queue, or another one that
                 made room for it; empty in most cases */
    std::vector<request_refusal> offer(const queued_request& request,
                                       time_point now);

    /** Takes the next request to run, charging its estimated cost. Call when
        a target has room. Requests past their deadline are not returned:
        call expire() first. */
    std::optional<queued_request> take(time_point now);

    /** Puts a taken request that did not run back at the front of its
        workspace's requests and takes back its charge; for a retry. */
    void requeue(const queued_request& request, time_point now);

    /** Refuses the requests that can no longer be answered in time. Call at
        next_expiry(). */
    std::vector<request_refusal> expire(time_point now);

    /** When expire() next has something to do; none when nothing waits. */
    std::optional<time_point> next_expiry() const;

    /** Drops a waiting request whose caller went away.
        @returns false when it is not waiting */
    bool cancel(request_number number);

    /** Corrects the charge of a taken request whose run has ended.
        @param actual_cost  what it took, in weighted tokens; 0 when it did
                            not run */
    void finish(request_number number, double actual_cost);

    /** Requests that wait, in all or in one lane. */
    std::size_t size() const;
    std::size_t size(queue_lane lane) const;

    /** The weighted tokens a second that were taken while work was waiting;
        none before it could be measured. */
    std::optional<double> measured_rate() const;

    /** How long a request of this cost would wait if it were offered now. */
    std::chrono::milliseconds expected_wait(const std::string& workspace,
                                            queue_lane lane, double cost) const;

    /** The workspace's counter in weighted tokens over weight, for /status
        and tests; 0 for one that is not known. */
    double workspace_virtual_time(const std::string& workspace,
                                  queue_lane lane) const;

private:
    struct workspace_state
    {
        std::string name;
        double weight = 1;
        /** What its urgent work ahead of normal work has used up, as a value
            of the normal lane's counters. */
        double urgent_tag = 0;
        /** Taken requests that have not finished. */
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
    void forget_if_idle(std::uint32_t workspace);
    workspace_schedule& lane_of(queue_lane lane);
    const workspace_schedule& lane_of(queue_lane lane) const;
    struct next_turn
    {
        queue_lane lane = queue_lane::normal;
        std::uint32_t workspace = 0;
    };

    next_turn choose_turn() const;
    bool is_within_urgent_share(std::uint32_t workspace) const;
    void charge_turn(const next_turn& turn, double cost);
    queue_lane lane_to_shed(queue_lane newcomer) const;
    double greatest_wait(const workspace_schedule& lane, double own_cost,
                         double own_weight) const;
    std::uint32_t enter(const queued_request& request, bool at_front);
    void remove(std::uint32_t slot);
    request_refusal refuse(std::uint32_t slot, refusal_reason reason);
    request_refusal refuse(const queued_request& request,
                           refusal_reason reason) const;
    void shed_excess(queue_lane newcomer,
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
    /** What normal work is owed of the urgent service since it last ran. */
    double normal_credit_ = 0;
};

} // namespace hibiscusferry

#endif
