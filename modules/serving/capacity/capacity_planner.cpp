#include "serving/capacity/capacity_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace hibiscusferry
{

namespace
{

/** A zone keeps a prefill and a decode engine if all else is taken away. */
constexpr unsigned min_ordinary_per_zone = 2;
/** Interval over which the trend of the demand is taken. */
constexpr std::chrono::milliseconds trend_interval{2000};
constexpr std::chrono::duration<double> refusal_time_constant{3};
constexpr double min_counted_requests = 5;

unsigned round_up(double number)
{
    return static_cast<unsigned>(std::ceil(std::max(number, 0.0)));
}

unsigned present_targets(const zone_capacity& zone, target_kind kind)
{
    return kind == target_kind::ordinary ? zone.ordinary : zone.reclaimable;
}

unsigned leaving_targets(const zone_capacity& zone, target_kind kind)
{
    return kind == target_kind::ordinary ? zone.ordinary_leaving
                                         : zone.reclaimable_leaving;
}

unsigned total_targets(const capacity_situation& situation)
{
    unsigned total = 0;
    for (const auto& [zone, capacity] : situation.zones)
        total += capacity.ordinary + capacity.reclaimable;
    return total;
}

} // namespace

std::string_view to_text(target_kind kind)
{
    constexpr std::array<std::string_view, 2> names{"ordinary", "reclaimable"};
    return names[static_cast<std::size_t>(kind)];
}

capacity_planner::capacity_planner(const autoscale_properties& limits,
                                   const capacity_settings& settings,
                                   bool is_first_holder)
    : limits_(limits)
    , settings_(settings)
    , is_first_holder_(is_first_holder)
{
}

void capacity_planner::set_limits(const autoscale_properties& limits)
{
    limits_ = limits;
}

unsigned capacity_planner::needed_targets() const
{
    return needed_;
}

std::vector<capacity_change>
capacity_planner::plan(const capacity_situation& situation, time_point now)
{
    if (situation.zones.empty())
        return {};
    if (!observe(situation, now))
        return {};
    needed_ = round_up(forecast(situation, now));
    const unsigned lasting = lasting_targets(situation, now);
    spare_ = lasting > needed_ ? lasting - needed_ : 0;
    const division desired = divide(needed_, situation, now);
    for (auto& [key, entry] : subjects_)
        entry.planned = 0;
    std::vector<capacity_change> changes;
    for (const auto& [zone, capacity] : situation.zones)
    {
        // Reclaimable targets are ordered first: they have to serve before the
        // ordinary ones that they replace are released.
        const std::optional<capacity_change> reclaimable =
            change(zone, target_kind::reclaimable, desired.reclaimable.at(zone),
                   situation, now);
        if (reclaimable)
            changes.push_back(*reclaimable);
        const std::optional<capacity_change> ordinary =
            change(zone, target_kind::ordinary, desired.ordinary.at(zone),
                   situation, now);
        if (ordinary)
            changes.push_back(*ordinary);
    }
    return changes;
}

bool capacity_planner::observe(const capacity_situation& situation,
                               time_point now)
{
    const unsigned total = total_targets(situation);
    if (!began_at_)
        began_at_ = now;
    if (total != last_total_)
        total_changed_at_ = now;
    last_total_ = total;
    for (const auto& [zone, capacity] : situation.zones)
    {
        for (const target_kind kind :
             {target_kind::ordinary, target_kind::reclaimable})
        {
            subject& entry = subjects_[{zone, kind}];
            const unsigned present = present_targets(capacity, kind);
            entry.most_present = std::max(entry.most_present, present);
            if (present >= provided(entry))
                entry.missing_since.reset();
            else if (!entry.missing_since)
                entry.missing_since = now;
        }
    }
    if (!has_settled_)
    {
        initial_targets_ = std::max(initial_targets_, total);
        has_settled_ = now - total_changed_at_ >= settings_.settling_time &&
                       now - *began_at_ >= settings_.settling_time;
    }
    return has_settled_;
}

unsigned capacity_planner::provided(const subject& entry)
{
    return entry.ordered.value_or(entry.most_present);
}

bool capacity_planner::is_recent(const subject& entry, time_point now) const
{
    return entry.ordered &&
           now - entry.ordered_at <
               std::max(settings_.repeat_delay, 2 * limits_.boot_time);
}

unsigned capacity_planner::lasting_targets(const capacity_situation& situation,
                                           time_point now) const
{
    unsigned total = 0;
    for (const auto& [zone, capacity] : situation.zones)
    {
        for (const target_kind kind :
             {target_kind::ordinary, target_kind::reclaimable})
        {
            unsigned lasting = present_targets(capacity, kind);
            const auto entry = subjects_.find({zone, kind});
            // A release that the list of targets does not show yet.
            if (entry != subjects_.end() && is_recent(entry->second, now))
                lasting = std::min(lasting, *entry->second.ordered);
            total += lasting;
        }
    }
    return total;
}

double capacity_planner::forecast(const capacity_situation& situation,
                                  time_point now)
{
    const double present = total_targets(situation);
    if (situation.busy_targets)
    {
        has_seen_demand_ = true;
        // Refused requests would have added to the work.
        const double admitted_fraction =
            std::max(1 - situation.refused_fraction, 0.2);
        double targets =
            *situation.busy_targets / admitted_fraction / settings_.utilization;
        const auto before =
            std::find_if(demands_.begin(), demands_.end(),
                         [now](const sample& entry)
                         { return now - entry.at <= trend_interval; });
        // A rise may go on while targets boot, but a sudden one is mostly over.
        if (before != demands_.end())
            targets += std::clamp(targets - before->targets, 0.0,
                                  settings_.growth_fraction * before->targets);
        demands_.push_back({now, targets});
    }
    // If most targets are idle, more of them would not prevent refusals. The
    // work is unknown if no request is served.
    const bool are_mostly_idle =
        situation.busy_targets &&
        *situation.busy_targets <
            settings_.min_growth_utilization * settings_.utilization * present;
    if (situation.refused_fraction > settings_.min_refused_fraction &&
        !are_mostly_idle)
        demands_.push_back(
            {now, std::max({present * (1 + settings_.growth_fraction),
                            present + 1, 1.0 * needed_})});
    while (!demands_.empty() &&
           now - demands_.front().at > settings_.demand_memory)
        demands_.pop_front();
    double needed = 0;
    for (const sample& entry : demands_)
        needed = std::max(needed, entry.targets);
    // What was there at the start was meant for a demand not seen yet.
    const bool has_observed =
        has_seen_demand_ && now - *began_at_ >= settings_.demand_memory;
    return has_observed ? needed : std::max<double>(needed, initial_targets_);
}

std::vector<std::string>
capacity_planner::zones_by_price(const capacity_situation& situation) const
{
    std::vector<std::string> zones;
    for (const auto& [zone, capacity] : situation.zones)
        zones.push_back(zone);
    const auto price = [this](const std::string& zone)
    {
        const auto entry = limits_.zone_prices.find(zone);
        return entry == limits_.zone_prices.end() ? 1.0 : entry->second;
    };
    std::stable_sort(zones.begin(), zones.end(),
                     [&price](const std::string& left, const std::string& right)
                     { return price(left) < price(right); });
    return zones;
}

bool capacity_planner::is_available(const std::string& zone, target_kind kind,
                                    time_point now) const
{
    const auto entry = subjects_.find({zone, kind});
    return entry == subjects_.end() || now >= entry->second.unavailable_until;
}

capacity_planner::division
capacity_planner::divide(unsigned needed, const capacity_situation& situation,
                         time_point now) const
{
    const std::vector<std::string> zones = zones_by_price(situation);
    const unsigned zone_count = static_cast<unsigned>(zones.size());
    const bool has_reclaimable = limits_.reclaimable_price &&
                                 *limits_.reclaimable_price < 1 &&
                                 zone_count > 1;
    division desired;
    const unsigned base =
        std::min(std::max(limits_.min_targets, min_ordinary_per_zone),
                 limits_.max_targets);
    for (const std::string& zone : zones)
    {
        desired.ordinary[zone] = base;
        desired.reclaimable[zone] = 0;
    }
    unsigned ordinary = base * zone_count;
    const auto add_ordinary = [&](unsigned wanted)
    {
        // One at a time to the cheapest zones, so that none holds all of them.
        bool is_growing = true;
        while (ordinary < wanted && is_growing)
        {
            is_growing = false;
            for (const std::string& zone : zones)
            {
                const bool has_room =
                    desired.ordinary[zone] + desired.reclaimable[zone] <
                    limits_.max_targets;
                if (ordinary >= wanted || !has_room ||
                    !is_available(zone, target_kind::ordinary, now))
                    continue;
                ++desired.ordinary[zone];
                ++ordinary;
                is_growing = true;
            }
        }
    };
    if (!has_reclaimable)
    {
        add_ordinary(needed);
        return desired;
    }
    add_ordinary(round_up(settings_.ordinary_fraction * needed));
    const unsigned remainder = needed > ordinary ? needed - ordinary : 0;
    const unsigned per_zone =
        round_up(static_cast<double>(remainder) / (zone_count - 1));
    unsigned reclaimable = 0;
    unsigned most_in_a_zone = 0;
    for (const std::string& zone : zones)
    {
        const unsigned present = situation.zones.at(zone).reclaimable;
        const unsigned room = limits_.max_targets - desired.ordinary[zone];
        // Where no more are available, the existing ones are kept.
        const unsigned wanted =
            is_available(zone, target_kind::reclaimable, now)
                ? per_zone
                : std::min(present, per_zone);
        desired.reclaimable[zone] = std::min(wanted, room);
        reclaimable += desired.reclaimable[zone];
        most_in_a_zone = std::max(most_in_a_zone, desired.reclaimable[zone]);
    }
    // What remains after the loss of a zone's reclaimable targets has to be
    // enough, unless such a loss is the reason for the shortage.
    const bool is_any_unavailable = std::any_of(
        zones.begin(), zones.end(),
        [&](const std::string& zone)
        { return !is_available(zone, target_kind::reclaimable, now); });
    const unsigned remaining =
        reclaimable - (is_any_unavailable ? 0 : most_in_a_zone);
    if (ordinary + remaining < needed)
        add_ordinary(needed - remaining);
    return desired;
}

std::optional<capacity_change>
capacity_planner::change(const std::string& zone, target_kind kind,
                         unsigned desired, const capacity_situation& situation,
                         time_point now)
{
    const zone_capacity& capacity = situation.zones.at(zone);
    const unsigned present = present_targets(capacity, kind);
    subject& entry = subjects_[{zone, kind}];
    // The limit holds for both kinds together, including those on their way.
    const target_kind other = kind == target_kind::ordinary
                                  ? target_kind::reclaimable
                                  : target_kind::ordinary;
    const subject& other_entry = subjects_[{zone, other}];
    const unsigned others =
        std::max({present_targets(capacity, other),
                  is_recent(other_entry, now) ? *other_entry.ordered : 0,
                  other_entry.planned});
    const unsigned room =
        limits_.max_targets > others ? limits_.max_targets - others : 0;
    desired = std::min(desired, std::max(room, present));
    if (now < entry.unavailable_until ||
        (entry.ordered &&
         now - entry.ordered_at < settings_.min_order_interval))
        return std::nullopt;
    const unsigned there = provided(entry);
    if (desired >= there)
        entry.superfluous_since.reset();
    if (desired > there)
    {
        entry.planned = desired;
        return capacity_change{zone, kind, desired, present};
    }
    // The platform took targets away, or they have not come.
    const std::chrono::milliseconds repeat_delay =
        std::max(settings_.repeat_delay, 2 * limits_.boot_time);
    const bool is_overdue =
        entry.missing_since && present < desired &&
        now - entry.ordered_at >= repeat_delay &&
        now - *entry.missing_since >= settings_.min_order_interval;
    if (is_overdue)
    {
        // Targets of the other kind may have taken their place.
        entry.planned = std::min(there, std::max(room, present));
        return capacity_change{zone, kind, entry.planned, present};
    }
    const std::optional<unsigned> remaining =
        released(entry, desired, present, leaving_targets(capacity, kind),
                 situation, now);
    if (!remaining)
        return std::nullopt;
    return capacity_change{zone, kind, *remaining, present};
}

std::optional<unsigned>
capacity_planner::released(subject& entry, unsigned desired, unsigned present,
                           unsigned leaving,
                           const capacity_situation& situation, time_point now)
{
    const unsigned there = provided(entry);
    if (desired == there)
        return std::nullopt;
    if (!entry.superfluous_since)
        entry.superfluous_since = now;
    const bool is_refusing =
        situation.refused_fraction > settings_.min_refused_fraction ||
        !situation.is_complete;
    // Targets that were ordered or are leaving would be counted twice.
    const bool is_changing = leaving > 0 || present != there;
    if (is_refusing || is_changing)
        return std::nullopt;
    // Before the first callers, targets can be released as soon as their
    // replacements serve.
    const bool has_callers = has_seen_demand_ || !is_first_holder_;
    const bool is_early =
        now - *began_at_ < settings_.release_delay ||
        now - *entry.superfluous_since < settings_.release_delay;
    if (has_callers && is_early)
        return std::nullopt;
    const unsigned step =
        has_callers ? std::max(1U, static_cast<unsigned>(
                                       settings_.release_fraction * there))
                    : there;
    const unsigned count = std::min({there - desired, spare_, step});
    if (count == 0)
        return std::nullopt;
    spare_ -= count;
    return there - count;
}

void capacity_planner::record_order(const capacity_change& change,
                                    bool is_available, time_point now)
{
    subject& entry = subjects_[{change.availability_zone, change.kind}];
    if (is_available)
    {
        entry.ordered = change.targets;
        entry.ordered_at = now;
        return;
    }
    entry.unavailable_until = now + settings_.unavailable_delay;
}

void refusal_meter::add(bool is_refused, time_point now)
{
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const double decay = std::exp(-elapsed / refusal_time_constant);
    requests_ = requests_ * decay + 1;
    refused_ = refused_ * decay + (is_refused ? 1 : 0);
    updated_at_ = now;
}

double refusal_meter::refused_fraction(time_point now) const
{
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const double decay = std::exp(-elapsed / refusal_time_constant);
    // A few requests say nothing about the fleet.
    return requests_ * decay < min_counted_requests ? 0 : refused_ / requests_;
}

} // namespace hibiscusferry
