#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_OFFLINE_PLAN_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_OFFLINE_PLAN_HPP

#include "trace.hpp"
#include <limits>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** The demand of one class of requests in one slot. */
struct class_demand
{
    double requests = 0;
    double prefill = 0; ///< mean number of busy engines
    double decode = 0;  ///< mean number of busy engines
};

/** The input of the planner for one slot of a trace. */
struct slot_demand
{
    class_demand document;
    class_demand query;
    int lost_engines = 0;
};

/** Duration of a slot of a plan, in seconds. */
constexpr double plan_slot_s = 10.0;

/** Calculates the demand of a trace per slot in a fluid model: the decoding of
    a request is distributed over the slots in which its stream would run. */
inline std::vector<slot_demand> slot_demands(const scenario& config,
                                             const request_trace& trace)
{
    const std::size_t count =
        static_cast<std::size_t>(std::ceil(config.duration_s / plan_slot_s));
    std::vector<slot_demand> slots(count);
    for (const traced_request& request : trace.requests)
    {
        const std::size_t first =
            static_cast<std::size_t>(request.at_s / plan_slot_s);
        class_demand slot_demand::*const request_class =
            request.is_document ? &slot_demand::document : &slot_demand::query;
        (slots[first].*request_class).requests += 1;
        (slots[first].*request_class).prefill +=
            detail::prefill_seconds(config, request.prompt_tokens) /
            plan_slot_s;
        const double end_s =
            request.at_s + request.output_tokens * config.token_interval_s;
        for (std::size_t slot = first; slot < count; ++slot)
        {
            const double from = std::max(request.at_s, slot * plan_slot_s);
            const double to = std::min(end_s, (slot + 1.0) * plan_slot_s);
            if (to <= from)
                break;
            (slots[slot].*request_class).decode +=
                (to - from) / plan_slot_s / config.decode_streams;
        }
    }
    for (const engine_loss& loss : config.losses)
    {
        for (std::size_t slot = 0; slot < count; ++slot)
        {
            const double middle =
                (static_cast<double>(slot) + 0.5) * plan_slot_s;
            if (middle >= loss.at_s &&
                (loss.restore_s <= 0 || middle < loss.restore_s))
                slots[slot].lost_engines += loss.engines;
        }
    }
    return slots;
}

/** Calculates the maximum number of requests of a slot that a split can serve
    if routing is perfect and either class may be refused in favour of the
    other. This is a linear programme of two variables, which is solved by
    checking all vertices. */
inline double max_served_requests(const slot_demand& slot,
                                  const role_split& split,
                                  double mixed_efficiency, double utilisation)
{
    struct limit
    {
        double document;
        double query;
        double bound;
    };
    const double shared = mixed_efficiency * split.mixed;
    const limit limits[] = {
        {slot.document.prefill, slot.query.prefill,
         utilisation * (split.prefill + shared)},
        {slot.document.decode, slot.query.decode,
         utilisation * (split.decode + shared)},
        {slot.document.prefill + slot.document.decode,
         slot.query.prefill + slot.query.decode,
         utilisation * (split.prefill + split.decode + shared)},
        {1, 0, 1},
        {0, 1, 1}};

    double max_served = 0;
    const auto consider = [&](double document, double query)
    {
        if (document < -1e-9 || query < -1e-9)
            return;
        for (const limit& constraint : limits)
        {
            if (constraint.document * document + constraint.query * query >
                constraint.bound + 1e-9)
                return;
        }
        max_served = std::max(max_served, document * slot.document.requests +
                                              query * slot.query.requests);
    };
    for (std::size_t first = 0; first < std::size(limits); ++first)
    {
        const limit& first_limit = limits[first];
        if (first_limit.document > 0)
            consider(first_limit.bound / first_limit.document, 0);
        if (first_limit.query > 0)
            consider(0, first_limit.bound / first_limit.query);
        for (std::size_t second = 0; second < first; ++second)
        {
            const limit& second_limit = limits[second];
            const double determinant =
                first_limit.document * second_limit.query -
                second_limit.document * first_limit.query;
            if (std::abs(determinant) < 1e-12)
                continue;
            consider((first_limit.bound * second_limit.query -
                      second_limit.bound * first_limit.query) /
                         determinant,
                     (first_limit.document * second_limit.bound -
                      second_limit.document * first_limit.bound) /
                         determinant);
        }
    }
    return max_served;
}

/** A plan that is calculated with knowledge of the whole trace. */
struct offline_plan
{
    /** The planned split for each slot. */
    std::vector<role_split> splits;
    double served = 0;
    int changes = 0;
};

/** Plans the role splits by dynamic programming over slots of plan_slot_s.

    The plan maximises the number of served requests minus a price per role
    change. An engine serves in neither role during the slot of its change, and
    at most max_unavailable engines change in a slot. Lost engines are removed
    from the roles where this costs the fewest requests, and queueing causes no
    loss, so the result is an upper bound for plans whose changes begin at the
    start of a slot.
*/
class offline_planner
{
public:
    offline_planner(const scenario& config,
                    const std::vector<slot_demand>& slots,
                    double price_requests, double utilisation)
        : scenario_(config)
        , slots_(slots)
        , price_(price_requests)
        , utilisation_(utilisation)
        , assignable_engines_(config.engines -
                              static_cast<int>(config.rules.min_mixed_engines))
        , side_(static_cast<std::size_t>(assignable_engines_) + 1)
    {
    }

    offline_plan plan(const role_split& first)
    {
        const std::size_t count = slots_.size();
        std::vector<std::vector<double>> value(
            count + 1, std::vector<double>(side_ * side_, 0.0));
        std::vector<std::vector<role_split>> next(
            count, std::vector<role_split>(side_ * side_));
        for (std::size_t slot = count; slot > 0; --slot)
        {
            served_.assign((side_ + 1) * (side_ + 1) * (side_ + 1) * 2, -1.0);
            for (int prefill = 0; prefill <= assignable_engines_; ++prefill)
            {
                for (int decode = 0; decode <= assignable_engines_ - prefill;
                     ++decode)
                    improve(slot - 1, split_at(prefill, decode), value, next);
            }
        }

        offline_plan plan_result;
        role_split split = first;
        for (std::size_t slot = 0; slot < count; ++slot)
        {
            const role_split to = next[slot][index(split)];
            plan_result.changes += changes_between(split, to);
            plan_result.served +=
                served_in(slot, split_during_change(split, to));
            plan_result.splits.push_back(to);
            split = to;
        }
        return plan_result;
    }

private:
    role_split split_at(int prefill, int decode) const
    {
        return {prefill, decode, scenario_.engines - prefill - decode};
    }

    std::size_t index(const role_split& split) const
    {
        return static_cast<std::size_t>(split.prefill) * side_ +
               static_cast<std::size_t>(split.decode);
    }

    static role_split split_during_change(const role_split& from,
                                          const role_split& to)
    {
        return {std::min(from.prefill, to.prefill),
                std::min(from.decode, to.decode),
                std::min(from.mixed, to.mixed)};
    }

    double served_in(std::size_t slot, role_split split)
    {
        double max_served = 0;
        const int lost = slots_[slot].lost_engines;
        if (lost == 0)
            return max_served_requests(
                slots_[slot], split, scenario_.mixed_efficiency, utilisation_);
        for (int prefill = 0; prefill <= std::min(lost, split.prefill);
             ++prefill)
        {
            for (int decode = 0;
                 decode <= std::min(lost - prefill, split.decode); ++decode)
            {
                const role_split available{
                    split.prefill - prefill, split.decode - decode,
                    std::max(0, split.mixed - (lost - prefill - decode))};
                max_served = std::max(
                    max_served, max_served_requests(slots_[slot], available,
                                                    scenario_.mixed_efficiency,
                                                    utilisation_));
            }
        }
        return max_served;
    }

    double cached_served_in(std::size_t slot, const role_split& split)
    {
        // Splits with unavailable engines may differ in all three counts, so
        // the number of unavailable engines is part of the key.
        const std::size_t span = side_ + 1;
        const std::size_t unavailable =
            static_cast<std::size_t>(scenario_.engines - split.engines());
        const std::size_t key =
            (static_cast<std::size_t>(split.prefill) * span +
             static_cast<std::size_t>(split.decode)) *
                4 +
            std::min<std::size_t>(unavailable, 3);
        double& cached_value = served_[key];
        if (cached_value < 0)
            cached_value = served_in(slot, split);
        return cached_value;
    }

    void improve(std::size_t slot, const role_split& from,
                 std::vector<std::vector<double>>& value,
                 std::vector<std::vector<role_split>>& next)
    {
        const int max_changes =
            static_cast<int>(scenario_.rules.max_unavailable);
        double best = -std::numeric_limits<double>::infinity();
        for (int prefill = -max_changes; prefill <= max_changes; ++prefill)
        {
            for (int decode = -max_changes; decode <= max_changes; ++decode)
            {
                const int to_prefill = from.prefill + prefill;
                const int to_decode = from.decode + decode;
                if (to_prefill < 0 || to_decode < 0 ||
                    to_prefill + to_decode > assignable_engines_)
                    continue;
                const role_split to = split_at(to_prefill, to_decode);
                const int changes = changes_between(from, to);
                if (changes > max_changes)
                    continue;
                const double total =
                    cached_served_in(slot, split_during_change(from, to)) -
                    price_ * changes + value[slot + 1][index(to)];
                // Among equally good plans, prefers the one without changes.
                if (total > best + 1e-9 ||
                    (total > best - 1e-9 && changes == 0))
                {
                    best = total;
                    next[slot][index(from)] = to;
                }
            }
        }
        value[slot][index(from)] = best;
    }

    const scenario& scenario_;
    const std::vector<slot_demand>& slots_;
    double price_;
    double utilisation_;
    int assignable_engines_;
    std::size_t side_;
    std::vector<double> served_;
};

} // namespace hibiscusferry::roles_bench

#endif
