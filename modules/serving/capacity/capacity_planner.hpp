#ifndef HIBISCUSFERRY_SERVING_CAPACITY_CAPACITY_PLANNER_HPP
#define HIBISCUSFERRY_SERVING_CAPACITY_CAPACITY_PLANNER_HPP

#include "foundation/foundation.hpp"
#include "serving/model/fleet_configuration.hpp"
#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** The two kinds of targets, which are ordered separately. */
enum class target_kind
{
    ordinary,
    reclaimable ///< cheaper, but the platform may take all of a zone away
};

/** "ordinary" or "reclaimable". */
std::string_view to_text(target_kind kind);

/** The targets of a service in one availability zone. */
struct zone_capacity
{
    /** Targets that serve. */
    unsigned ordinary = 0;
    unsigned reclaimable = 0;
    /** Targets that are draining, of either kind. */
    unsigned ordinary_leaving = 0;
    unsigned reclaimable_leaving = 0;
};

/** What a plan is based on. */
struct capacity_situation
{
    std::map<std::string, zone_capacity> zones;
    /** The work that arrives, in targets that it keeps busy all the time; none
        before any was observed. */
    std::optional<double> busy_targets;
    /** The fraction of the requests that was recently refused for lack of
        capacity. */
    double refused_fraction = 0;
    /** Whether the work of most hosts is known. */
    bool is_complete = true;
};

/** A number of targets that a service should have in a zone. */
struct capacity_change
{
    std::string availability_zone;
    target_kind kind = target_kind::ordinary;
    unsigned targets = 0;
    /** The number that was there when the change was planned. */
    unsigned present = 0;
};

struct capacity_settings
{
    /** The part of their time for which targets are busy as planned. At a
        higher one, requests wait for so long that urgent ones miss their
       latency objectives. */
    double utilization = 0.6;
    /** The part of the capacity that stays if all reclaimable targets of all
        zones are taken away one after the other. */
    double ordinary_fraction = 0.3;
    /** How long a demand is remembered. Loads that alternate between classes
        within seconds return sooner than targets boot. */
    std::chrono::milliseconds demand_memory{20000};
    /** How long capacity must have been superfluous before it is released, and
        for how long a new planner releases nothing. */
    std::chrono::milliseconds release_delay{10000};
    /** How long the list of targets must be unchanged before the first order.
        Targets register one after the other, and an order for fewer than there
        are releases the others. */
    std::chrono::milliseconds settling_time{3000};
    /** Delay before a kind that is not available in a zone is ordered again. */
    std::chrono::milliseconds unavailable_delay{5000};
    /** Interval between repeats of an order whose targets have not come. */
    std::chrono::milliseconds repeat_delay{6000};
    /** Minimum interval between two different orders of a kind in a zone. */
    std::chrono::milliseconds min_order_interval{1000};
    /** The part of a zone's ordinary targets that one order may release. */
    double release_fraction = 0.25;
    /** Growth while requests are refused, as a part of the targets. */
    double growth_fraction = 0.25;
    /** Refusals add targets only if those that are there are busy for at least
        this part of the planned utilization. */
    double min_growth_utilization = 0.5;
    /** A refused fraction below this is not a lack of capacity. */
    double min_refused_fraction = 0.02;
};

/** Plans how many targets of each kind a service has in each zone.

    Answers loads that swing within seconds while a target takes seconds to
    boot, bursts above all that was seen before, and the loss of all reclaimable
    targets of a zone at short notice. Capacity follows the highest demand of
    the last seconds, and is such that what remains after the loss of a zone's
    reclaimable targets still serves it. Prices only decide how this capacity is
    divided; no request is refused to save them. */
class capacity_planner
{
public:
    capacity_planner(const autoscale_properties& limits,
                     const capacity_settings& settings, bool is_first_holder);

    void set_limits(const autoscale_properties& limits);

    /** Returns the orders to make now. */
    std::vector<capacity_change> plan(const capacity_situation& situation,
                                      time_point now);

    /** Records that a change was ordered, and whether targets of its kind are
        available. */
    void record_order(const capacity_change& change, bool is_available,
                      time_point now);

    /** The number of targets that the last plan wanted to have after the loss
       of a zone's reclaimable targets. */
    unsigned needed_targets() const;

private:
    struct subject
    {
        /** The number ordered last; none if nothing was ordered. */
        std::optional<unsigned> ordered;
        /** The most targets seen before the first order. */
        unsigned most_present = 0;
        /** Since when targets that should be there are missing. */
        std::optional<time_point> missing_since;
        time_point ordered_at{};
        /** The number that the present plan orders; zero if it orders none. */
        unsigned planned = 0;
        time_point unavailable_until{};
        /** Since when fewer targets would have been enough. */
        std::optional<time_point> superfluous_since;
    };
    struct sample
    {
        time_point at{};
        double targets = 0;
    };
    struct division
    {
        std::map<std::string, unsigned> ordinary;
        std::map<std::string, unsigned> reclaimable;
    };

    /** The number of targets that the platform provides: more than there are
        while some have not registered. */
    static unsigned provided(const subject& entry);
    /** Records the targets that are there.
        @returns whether the list has settled */
    bool observe(const capacity_situation& situation, time_point now);
    /** Whether the last order may not have taken effect yet. */
    bool is_recent(const subject& entry, time_point now) const;
    /** The targets that are there without those that are being released. */
    unsigned lasting_targets(const capacity_situation& situation,
                             time_point now) const;
    double forecast(const capacity_situation& situation, time_point now);
    division divide(unsigned needed, const capacity_situation& situation,
                    time_point now) const;
    std::vector<std::string>
    zones_by_price(const capacity_situation& situation) const;
    bool is_available(const std::string& zone, target_kind kind,
                      time_point now) const;
    std::optional<capacity_change> change(const std::string& zone,
                                          target_kind kind, unsigned desired,
                                          const capacity_situation& situation,
                                          time_point now);
    std::optional<unsigned> released(subject& entry, unsigned desired,
                                     unsigned present, unsigned leaving,
                                     const capacity_situation& situation,
                                     time_point now);

    autoscale_properties limits_;
    capacity_settings settings_;
    bool is_first_holder_;
    std::optional<time_point> began_at_;
    unsigned last_total_ = 0;
    time_point total_changed_at_{};
    bool has_settled_ = false;
    std::deque<sample> demands_;
    bool has_seen_demand_ = false;
    unsigned needed_ = 0;
    /** Targets that the present plan may still release. */
    unsigned spare_ = 0;
    /** The targets at the first plan, the measure before any demand is seen. */
    unsigned initial_targets_ = 0;
    std::map<std::pair<std::string, target_kind>, subject> subjects_;
};

/** The fraction of the requests that were recently refused for lack of
    capacity. */
class refusal_meter
{
public:
    void add(bool is_refused, time_point now);
    double refused_fraction(time_point now) const;

private:
    double requests_ = 0;
    double refused_ = 0;
    time_point updated_at_{};
};

} // namespace hibiscusferry

#endif
