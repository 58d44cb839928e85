#include "serving/serving.hpp"
#include <boost/test/unit_test.hpp>
#include <limits>
#include <rapidcheck.h>

namespace hibiscusferry
{

namespace
{

using std::chrono::milliseconds;

autoscale_properties limits_with(std::optional<double> reclaimable_price)
{
    autoscale_properties limits;
    limits.min_targets = 1;
    limits.max_targets = 30;
    limits.boot_time = milliseconds(4000);
    limits.reclaimable_price = reclaimable_price;
    limits.zone_prices = {{"a", 0.85}, {"b", 1.2}, {"c", 1.0}};
    return limits;
}

/** A platform that boots, drains and takes away targets. */
struct fake_platform
{
    explicit fake_platform(const autoscale_properties& the_limits)
        : limits(the_limits)
    {
        for (const auto& [zone, price] : limits.zone_prices)
            situation.zones[zone] = {};
    }

    void run(capacity_planner& planner, int seconds)
    {
        for (int tick = 0; tick < 2 * seconds; ++tick)
        {
            now_ms += 500;
            settle();
            for (const capacity_change& change :
                 planner.plan(situation, time_point(milliseconds(now_ms))))
                order(planner, change);
            for (const auto& [zone, capacity] : situation.zones)
                max_in_a_zone = std::max(
                    max_in_a_zone, capacity.ordinary + capacity.reclaimable);
        }
    }

    void order(capacity_planner& planner, const capacity_change& change)
    {
        ++orders;
        ++orders_of[{change.availability_zone, change.kind}];
        const bool is_reclaimable = change.kind == target_kind::reclaimable;
        const bool is_available = !is_reclaimable || now_ms >= none_until_ms;
        planner.record_order(change, is_available,
                             time_point(milliseconds(now_ms)));
        if (!is_available)
            return;
        zone_capacity& zone = situation.zones[change.availability_zone];
        unsigned& present = is_reclaimable ? zone.reclaimable : zone.ordinary;
        if (change.targets < present)
            present = change.targets;
        else
            booting[{change.availability_zone, change.kind}] = {
                now_ms + limits.boot_time.count(), change.targets};
    }

    void settle()
    {
        for (auto entry = booting.begin(); entry != booting.end();)
        {
            if (now_ms < entry->second.first)
            {
                ++entry;
                continue;
            }
            zone_capacity& zone = situation.zones[entry->first.first];
            unsigned& present = entry->first.second == target_kind::reclaimable
                                    ? zone.reclaimable
                                    : zone.ordinary;
            present = std::max(present, entry->second.second);
            entry = booting.erase(entry);
        }
    }

    unsigned total() const
    {
        unsigned sum = 0;
        for (const auto& [zone, capacity] : situation.zones)
            sum += capacity.ordinary + capacity.reclaimable;
        return sum;
    }

    unsigned ordinary() const
    {
        unsigned sum = 0;
        for (const auto& [zone, capacity] : situation.zones)
            sum += capacity.ordinary;
        return sum;
    }

    void start_with(unsigned targets_per_zone)
    {
        for (auto& [zone, capacity] : situation.zones)
            capacity.ordinary = targets_per_zone;
    }

    autoscale_properties limits;
    capacity_situation situation;
    std::int64_t now_ms = 1000;
    std::int64_t none_until_ms = 0;
    std::map<std::pair<std::string, target_kind>,
             std::pair<std::int64_t, unsigned>>
        booting;
    unsigned orders = 0;
    std::map<std::pair<std::string, target_kind>, unsigned> orders_of;
    unsigned max_in_a_zone = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(capacity_planner_tests)

// Guards against a fleet that stays on ordinary targets, and against one that
// gives them up before their replacements serve.
BOOST_AUTO_TEST_CASE(reclaimable_targets_replace_ordinary_ones_before_callers)
{
    fake_platform platform(limits_with(0.15));
    platform.start_with(15);
    capacity_planner planner(platform.limits, {}, true);
    platform.run(planner, 5);
    BOOST_TEST(platform.ordinary() == 45U);
    platform.run(planner, 12);
    BOOST_TEST(platform.ordinary() < 20U);
    BOOST_TEST(platform.ordinary() >= 6U);
    BOOST_TEST(platform.total() >= 45U);
    // The plan is stable.
    const unsigned orders = platform.orders;
    platform.run(planner, 20);
    BOOST_TEST(platform.orders == orders);
}

// Guards against an order for the few targets that have registered so far,
// which releases all others.
BOOST_AUTO_TEST_CASE(targets_that_register_slowly_are_not_released)
{
    fake_platform platform(limits_with(0.15));
    capacity_planner planner(platform.limits, {}, true);
    for (unsigned registered = 1; registered <= 15; ++registered)
    {
        platform.start_with(registered);
        platform.run(planner, 1);
        BOOST_TEST(platform.orders == 0U);
    }
    platform.run(planner, 2);
    BOOST_TEST(platform.orders == 0U);
    platform.run(planner, 12);
    BOOST_TEST(platform.orders > 0U);
    BOOST_TEST(platform.total() >= 45U);
}

// Guards against the same when the list has lost targets for a while.
BOOST_AUTO_TEST_CASE(targets_missing_from_the_list_are_not_released)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(10);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 17;
    platform.run(planner, 30);
    platform.start_with(3);
    platform.situation.busy_targets = 18;
    unsigned least_ordered = std::numeric_limits<unsigned>::max();
    for (int tick = 0; tick < 20; ++tick)
    {
        platform.now_ms += 500;
        for (const capacity_change& change : planner.plan(
                 platform.situation, time_point(milliseconds(platform.now_ms))))
            least_ordered = std::min(least_ordered, change.targets);
    }
    BOOST_TEST(least_ordered >= 10U);
}

// Guards against the loss of a zone's reclaimable targets under full load.
BOOST_AUTO_TEST_CASE(enough_remains_when_a_zone_loses_its_reclaimable_targets)
{
    fake_platform platform(limits_with(0.15));
    platform.start_with(15);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 24;
    platform.run(planner, 30);
    const unsigned needed = planner.needed_targets();
    BOOST_TEST(needed >= 40U);
    for (auto& [zone, capacity] : platform.situation.zones)
    {
        const unsigned lost = capacity.reclaimable;
        BOOST_TEST(platform.total() - lost >= needed, zone);
    }
    // No more are available, and an order is repeated every five seconds only.
    zone_capacity& zone = platform.situation.zones["a"];
    zone.reclaimable_leaving = zone.reclaimable;
    zone.reclaimable = 0;
    platform.none_until_ms = platform.now_ms + 10000;
    const std::pair<std::string, target_kind> lost_subject{
        "a", target_kind::reclaimable};
    const unsigned orders = platform.orders_of[lost_subject];
    platform.run(planner, 3);
    zone.reclaimable_leaving = 0;
    platform.run(planner, 6);
    BOOST_TEST(platform.orders_of[lost_subject] - orders <= 2U);
    BOOST_TEST(platform.total() >= needed);
    platform.run(planner, 20);
    BOOST_TEST(platform.situation.zones["a"].reclaimable > 0U);
}

// Guards against capacity that is released between two bursts.
BOOST_AUTO_TEST_CASE(capacity_follows_the_highest_demand_of_the_last_seconds)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(10);
    capacity_planner planner(platform.limits, {}, true);
    unsigned least = std::numeric_limits<unsigned>::max();
    for (int wave = 0; wave < 8; ++wave)
    {
        platform.situation.busy_targets = 30;
        platform.run(planner, 5);
        platform.situation.busy_targets = 8;
        platform.run(planner, 5);
        if (wave >= 2)
            least = std::min(least, platform.total());
    }
    BOOST_TEST(least >= 48U);
    platform.run(planner, 120);
    BOOST_TEST(platform.total() < 25U);
    BOOST_TEST(platform.total() >= 14U);
}

// Guards against a fleet that refuses callers instead of growing.
BOOST_AUTO_TEST_CASE(fleet_grows_while_requests_are_refused)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(5);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 9;
    platform.situation.refused_fraction = 0.3;
    platform.run(planner, 25);
    BOOST_TEST(platform.total() > 20U);
}

// Guards against idle targets that are added because of refusals of another
// cause, such as a stage that has too few engines.
BOOST_AUTO_TEST_CASE(refusals_beside_idle_targets_add_none)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(10);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 3;
    platform.situation.refused_fraction = 0.1;
    platform.run(planner, 40);
    BOOST_TEST(platform.total() == 30U);
}

// Guards against a fleet that shrinks because nothing is served any more.
BOOST_AUTO_TEST_CASE(fleet_grows_when_all_requests_are_refused)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(5);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 9;
    platform.run(planner, 25);
    for (auto& [zone, capacity] : platform.situation.zones)
        capacity.ordinary = 0;
    platform.situation.busy_targets.reset();
    platform.situation.refused_fraction = 1;
    platform.run(planner, 40);
    BOOST_TEST(platform.total() >= 15U);
}

// Guards against a holder that has lost its peers and releases what their
// callers use.
BOOST_AUTO_TEST_CASE(nothing_is_released_while_the_work_of_hosts_is_unknown)
{
    fake_platform platform(limits_with(std::nullopt));
    platform.start_with(10);
    capacity_planner planner(platform.limits, {}, true);
    platform.situation.busy_targets = 18;
    platform.run(planner, 30);
    platform.situation.busy_targets = 1;
    platform.situation.is_complete = false;
    platform.run(planner, 60);
    BOOST_TEST(platform.total() >= 30U);
}

// Guards against a new holder that releases what it does not understand yet.
BOOST_AUTO_TEST_CASE(new_holder_releases_nothing_at_first)
{
    fake_platform platform(limits_with(0.15));
    platform.start_with(15);
    capacity_planner planner(platform.limits, {}, false);
    platform.situation.busy_targets = 5;
    platform.run(planner, 9);
    BOOST_TEST(platform.ordinary() == 45U);
}

// Guards against orders outside the limits of a zone, and against the release
// of the last targets, under any sequence of demands and losses.
BOOST_AUTO_TEST_CASE(orders_stay_within_the_limits)
{
    BOOST_TEST(rc::check(
        [](const std::vector<unsigned char>& moves)
        {
            fake_platform platform(limits_with(0.15));
            platform.start_with(4);
            capacity_planner planner(platform.limits, {}, true);
            for (const unsigned char move : moves)
            {
                platform.situation.busy_targets = move % 64;
                platform.situation.refused_fraction = move % 5 == 0 ? 0.2 : 0.0;
                if (move % 7 == 0)
                {
                    platform.situation.zones["b"].reclaimable = 0;
                    platform.none_until_ms = platform.now_ms + 10000;
                }
                platform.run(planner, 1 + move % 6);
                RC_ASSERT(platform.max_in_a_zone <=
                          platform.limits.max_targets);
                for (const auto& [zone, capacity] : platform.situation.zones)
                    RC_ASSERT(capacity.ordinary >= 1U);
            }
        }));
}

BOOST_AUTO_TEST_CASE(refusals_are_forgotten_within_seconds)
{
    refusal_meter meter;
    const auto at = [](int ms)
    {
        return time_point(milliseconds(100000 + ms));
    };
    meter.add(true, at(0));
    BOOST_TEST(meter.refused_fraction(at(1)) == 0.0);
    for (int index = 0; index < 100; ++index)
        meter.add(index % 4 == 0, at(index * 10));
    BOOST_TEST(meter.refused_fraction(at(1000)) > 0.2);
    BOOST_TEST(meter.refused_fraction(at(1000)) < 0.3);
    for (int index = 0; index < 1000; ++index)
        meter.add(false, at(1000 + index * 10));
    BOOST_TEST(meter.refused_fraction(at(11000)) < 0.02);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace hibiscusferry
