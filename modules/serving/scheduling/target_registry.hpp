#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_REGISTRY_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_TARGET_REGISTRY_HPP

#include "foundation/foundation.hpp"
#include "serving/catalogue/target_catalogue.hpp"
#include "serving/health/observed_health.hpp"
#include "serving/scheduling/observed_delay.hpp"
#include "serving/scheduling/prefix_cache_estimate.hpp"
#include "serving/scheduling/smoothed_level.hpp"
#include "sharing/sharing.hpp"
#include <map>
#include <memory>
#include <vector>

namespace hibiscusferry
{

/** A target's own word on its load, with the time it was heard. */
struct reported_load
{
    unsigned running = 0;
    unsigned waiting = 0;
    unsigned slots = 0;
    time_point received_at{};
};

/** What this host knows of one target and has under way there. */
struct target_view
{
    explicit target_view(const target_record& described);

    target_record record;
    /** Names the target in the messages of hosts. */
    target_key key = 0;
    observed_health health;
    std::optional<reported_load> load;
    /** Requests of this host that are open at the target. */
    smoothed_level requests;
    /** Prompt tokens sent by this host that the target has yet to read. */
    smoothed_level pending_prefill_tokens;
    /** Tokens of KV cache that this host's open requests take there. */
    smoothed_level kv_tokens;
    /** What the other hosts have under way there, as they told. */
    in_flight_load remote_load;
    std::optional<time_point> remote_load_received_at;
    prefix_cache_estimate cached_prefixes;
    /** How much longer exchanges take than expected from their tokens. */
    observed_delay delay;
    /** The target is changing its stage and refuses work until then. */
    time_point stage_change_until{};
    /** It has refused work though it had room: it is changing its stage, or
        about to leave. */
    time_point refuses_until{};
    /** The stage it was ordered to change to. */
    std::optional<target_role> ordered_stage;
    /** Until then it has joined its stage too lately to keep much of what
        others keep. */
    time_point settles_at{};
    /** No new work: it is draining or gone. */
    bool is_withdrawn = false;

    /** Whether it may be given work now. */
    bool is_available(time_point now) const;

    /** Whether another host changes its stage, or several found it silent and
        it has not answered this one since. */
    bool is_avoided_by_others(time_point now) const;

    /** How much longer an exchange takes there than expected, from what all
        hosts have seen.
        @param stage  what this host saw of its whole stage */
    double expected_delay_ms(const observed_delay& stage, time_point now) const;

    /** Its stage, or the one that an order under way leads to. */
    target_role coming_stage(time_point now) const;
};

/** What all hosts have under way at a target: this host's own work, and what
    the others have told. While they tell nothing, each of them is taken to do
    what this host did lately. */
in_flight_load expected_load(const target_view& target, std::size_t live_hosts,
                             time_point now);

/** Work that this host has under way at a target; ends when destroyed. */
class target_load_guard
{
public:
    target_load_guard(std::shared_ptr<target_view> target,
                      double pending_prefill_tokens, double kv_tokens,
                      const clock& time);
    ~target_load_guard();
    target_load_guard(const target_load_guard&) = delete;
    target_load_guard& operator=(const target_load_guard&) = delete;

    /** The target has read the prompt. */
    void prefill_finished();

private:
    std::shared_ptr<target_view> target_;
    double pending_prefill_tokens_;
    double kv_tokens_;
    const clock& time_;
};

/** All targets of all services, as this host knows them. */
class target_registry
{
public:
    /** Takes a change of the catalogue into account.
        @param is_first_look  the targets were there before this host */
    void apply(const target_change& change, bool is_first_look, time_point now);

    /** The targets of a service, also those that take no work. */
    const std::vector<std::shared_ptr<target_view>>&
    targets_for_service(const std::string& service) const;

    /** All targets by id. */
    const std::map<std::string, std::shared_ptr<target_view>>& targets() const;

    /** The target of that id, or null. */
    std::shared_ptr<target_view> find(const std::string& id) const;

private:
    void remove(const std::string& id);

    std::map<std::string, std::vector<std::shared_ptr<target_view>>> services_;
    std::map<std::string, std::shared_ptr<target_view>> by_id_;
};

} // namespace hibiscusferry

#endif
