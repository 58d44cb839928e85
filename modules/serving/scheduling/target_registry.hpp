#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_REGISTRY_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_REGISTRY_HPP

#include "foundation/foundation.hpp"
#include "serving/catalogue/target_catalogue.hpp"
#include "serving/health/observed_health.hpp"
#include "serving/limits/shared_request_limit.hpp"
#include "serving/scheduling/event_gap_estimate.hpp"
#include "serving/scheduling/observed_delay.hpp"
#include "serving/scheduling/prefix_cache_estimate.hpp"
#include "serving/scheduling/smoothed_level.hpp"
#include "serving/scheduling/target_slowness.hpp"
#include "sharing/sharing.hpp"
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace hibiscusferry
{

/** The load that a target reported, with the time of receipt. */
struct reported_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    /** How long work takes at the target at this moment, as a multiple of the
        usual time; none if the target does not report it. */
    std::optional<double> slowness;
    time_point received_at{};
};

/** The local view of one target, including the load from this host. */
struct target_view
{
    explicit target_view(const target_record& initial_record);

    target_record record;
    /** Identifies the target in messages between hosts. */
    target_key key = 0;
    incarnation_key incarnation = 0;
    observed_health health;
    std::optional<reported_load> load;
    target_slowness slowness;
    /** The gaps between the events of this host's streams. */
    event_gap_estimate event_gaps;
    /** Requests of this host in flight at the target. */
    smoothed_level requests;
    /** Prompt tokens sent by this host that the target has not prefilled. */
    smoothed_level pending_prefill_tokens;
    /** Of these, the tokens of requests with at most this rank. */
    std::array<smoothed_level, urgent_rank_count> urgent_prefill_tokens;
    /** KV cache tokens used by this host's requests in flight. */
    smoothed_level kv_tokens;
    /** Load from the other hosts, as they reported it. */
    in_flight_load remote_load;
    std::optional<time_point> remote_load_received_at;
    prefix_cache_estimate cached_prefixes;
    /** Difference between observed and estimated durations of exchanges. */
    observed_delay delay;
    /** The end of a stage change; until then the target refuses requests. */
    time_point stage_change_until{};
    /** Set when the target refuses requests despite free capacity, because it
        is changing its stage or about to drain; until then it receives no
        requests. */
    time_point refuses_until{};
    /** The requests per second that the target takes from all hosts. */
    shared_request_limit request_limit;
    /** The stage of the last order sent to the target. */
    std::optional<target_role> ordered_stage;
    /** The time from which the prefix cache is considered warm. An engine that
        has recently joined its stage has few prefixes cached. */
    time_point cache_warm_at{};
    /** Whether the target is draining or removed and receives no new
        requests. */
    bool is_withdrawn = false;

    /** Records the load that the target reports. */
    void record_load(const reported_load& report);

    /** Whether the target may receive requests now. */
    bool is_available(time_point now) const;

    /** Whether another host is changing the target's stage, or several hosts
        suspect it and it has not responded to this host recently. */
    bool is_reported_unavailable(time_point now) const;

    /** Returns the expected delay of an exchange beyond its estimate, based on
        the observations of all hosts.
        @param stage  the delay this host observed for the whole stage */
    double expected_delay_ms(const observed_delay& stage, time_point now) const;

    /** Returns the stage of the target, or its new stage if a stage change is
        in progress. */
    target_role upcoming_stage(time_point now) const;
};

/** Returns the expected load of a target from all hosts: the load from this
    host plus the load reported by the others. Without recent reports, every
    other host is assumed to cause the recent average load of this host. */
in_flight_load expected_load(const target_view& target, std::size_t live_hosts,
                             time_point now);

/** Returns when the first of the targets that currently want no requests
   accepts them again; none if no target refuses, or another one is available.
 */
std::optional<time_point>
earliest_refusal_end(const std::vector<std::shared_ptr<target_view>>& targets,
                     time_point now);

/** RAII guard that counts a request in the target's load until it is
    destroyed. */
class target_load_guard
{
public:
    /** @param rank  the rank of the request; see route::rank */
    target_load_guard(std::shared_ptr<target_view> target,
                      double pending_prefill_tokens, double kv_tokens,
                      const clock& time, unsigned rank = 0);
    ~target_load_guard();
    target_load_guard(const target_load_guard&) = delete;
    target_load_guard& operator=(const target_load_guard&) = delete;

    /** Records that the target has prefilled the prompt. */
    void prefill_finished();

private:
    void add_pending_tokens(double tokens, time_point now);

    std::shared_ptr<target_view> target_;
    double pending_prefill_tokens_;
    unsigned rank_;
    double kv_tokens_;
    const clock& time_;
};

/** The local views of all targets of all services. */
class target_registry
{
public:
    /** Applies a change of the catalogue.
        @param is_initial_snapshot  whether the change comes from the first
                                    snapshot, whose targets are older than this
                                    host and are considered warm */
    void apply(const target_change& change, bool is_initial_snapshot,
               time_point now);

    /** Returns all targets of a service, including unavailable ones. */
    const std::vector<std::shared_ptr<target_view>>&
    targets_for_service(const std::string& service) const;

    /** Returns all targets by id. */
    const std::map<std::string, std::shared_ptr<target_view>>& targets() const;

    /** Returns the target with the given id, or null. */
    std::shared_ptr<target_view> find(const std::string& id) const;

private:
    void remove(const std::string& id);

    std::map<std::string, std::vector<std::shared_ptr<target_view>>> services_;
    std::map<std::string, std::shared_ptr<target_view>> by_id_;
    std::map<std::string, std::shared_ptr<slowness_variation>>
        slowness_variations_;
};

} // namespace hibiscusferry

#endif
