#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_OFFLINE_PLAN_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ROLES_OFFLINE_PLAN_HPP

#include "trace.hpp"
#include <limits>
#include <vector>

namespace hibiscusferry::roles_bench
{

/** The work of one class of requests in one slot. */
struct class_demand
{
    double requests = 0;
    double prefill = 0; ///< mean busy engines
    double decode = 0;  ///< mean busy engines
};

/** All that a plan needs of a trace, slot by slot. */
struct slot_demand
{
    class_demand document;
    class_demand query;
    int lost_engines = 0;
};

/** The length of a plan's slot, in seconds. */
constexpr double plan_slot_s = 10.0;

/** The demand of a trace over time, as fluid: the streams of a request are
    spread over the slots in which they would run. */
inline std::vector<slot_demand> slots_of(const scenario& of,
                                         const request_trace& trace)
{
    const std::size_t count =
        static_cast<std::size_t>(std::ceil(of.duration_s / plan_slot_s));
    std::vector<slot_demand> slots(count);
    for (const traced_request& request : trace.requests)
    {
        const std::size_t first =
            static_cast<std::size_t>(request.at_s / plan_slot_s);
        class_demand slot_demand::*const kind =
            request.is_document ? &slot_demand::document : &slot_demand::query;
        (slots[first].*kind).requests += 1;
        (slots[first].*kind).prefill +=
            detail::prefill_seconds(of, request.prompt_tokens) / plan_slot_s;
        const double end_s =
            request.at_s + request.output_tokens * of.token_interval_s;
        for (std::size_t slot = first; slot < count; ++slot)
        {
            const double from = std::max(request.at_s, slot * plan_slot_s);
            const double to = std::min(end_s, (slot + 1.0) * plan_slot_s);
            if (to <= from)
                break;
            (slots[slot].*kind).decode +=
                (to - from) / plan_slot_s / of.decode_streams;
        }
    }
    for (const engine_loss& loss : of.losses)
    {
        for (std::size_t slot = 0; slot < count; ++slot)
        {
            const double middle =
                (static_cast<double>(slot) + 0.5) * plan_slot_s;
            if (middle >= loss.at_s &&
                (loss.back_s <= 0 || middle < loss.back_s))
                slots[slot].lost_engines += loss.engines;
        }
    }
    return slots;
}

/** The greatest number of requests of a slot that a split can serve when
    routing is perfect and any class may be refused in favour of another: a
    linear programme of two variables, solved over its corners. */
inline double most_served(const slot_demand& slot, const role_split& split,
                          double mixed_efficiency, double utilisation)
{
    struct limit
    {
        double document;
        double query;
        double greatest;
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

    double most = 0;
    const auto consider = [&](double document, double query)
    {
        if (document < -1e-9 || query < -1e-9)
            return;
        for (const limit& each : limits)
        {
            if (each.document * document + each.query * query >
                each.greatest + 1e-9)
                return;
        }
        most = std::max(most, document * slot.document.requests +
                                  query * slot.query.requests);
    };
    for (std::size_t first = 0; first < std::size(limits); ++first)
    {
        const limit& one = limits[first];
        if (one.document > 0)
            consider(one.greatest / one.document, 0);
        if (one.query > 0)
            consider(0, one.greatest / one.query);
        for (std::size_t second = 0; second < first; ++second)
        {
            const limit& two = limits[second];
            const double determinant =
                one.document * two.query - two.document * one.query;
            if (std::abs(determinant) < 1e-12)
                continue;
            consider(
                (one.greatest * two.query - two.greatest * one.query) /
                    determinant,
                (one.document * two.greatest - two.document * one.greatest) /
                    determinant);
        }
    }
    return most;
}

/** A plan made with the whole trace known. */
struct offline_plan
{
    /** The split to have in each slot. */
    std::vector<role_split> splits;
    double served = 0;
    int changes = 0;
};

/** A dynamic programme over the splits in slots of plan_slot_s.

    It maximises the requests served less a price for each change. In the
    slot of a change the engine serves in neither role; at most max_unavailable
    engines change in a slot. Lost engines are taken from whichever role it
    hurts least, and nothing is lost to queues, so for plans whose changes
    begin with a slot the result is an upper bound.
*/
class offline_planner
{
public:
    offline_planner(const scenario& of, const std::vector<slot_demand>& slots,
                    double price_requests, double utilisation)
        : scenario_(of)
        , slots_(slots)
        , price_(price_requests)
        , utilisation_(utilisation)
        , free_(of.engines - static_cast<int>(of.rules.min_mixed_engines))
        , side_(static_cast<std::size_t>(free_) + 1)
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
            for (int prefill = 0; prefill <= free_; ++prefill)
            {
                for (int decode = 0; decode <= free_ - prefill; ++decode)
                    improve(slot - 1, split_at(prefill, decode), value, next);
            }
        }

        offline_plan made;
        role_split split = first;
        for (std::size_t slot = 0; slot < count; ++slot)
        {
            const role_split to = next[slot][index(split)];
            made.changes += changes_between(split, to);
            made.served += served_in(slot, during(split, to));
            made.splits.push_back(to);
            split = to;
        }
        return made;
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

    static role_split during(const role_split& from, const role_split& to)
    {
        return {std::min(from.prefill, to.prefill),
                std::min(from.decode, to.decode),
                std::min(from.mixed, to.mixed)};
    }

    double served_in(std::size_t slot, role_split split)
    {
        double most = 0;
        const int lost = slots_[slot].lost_engines;
        if (lost == 0)
            return most_served(slots_[slot], split, scenario_.mixed_efficiency,
                               utilisation_);
        for (int prefill = 0; prefill <= std::min(lost, split.prefill);
             ++prefill)
        {
            for (int decode = 0;
                 decode <= std::min(lost - prefill, split.decode); ++decode)
            {
                const role_split left{
                    split.prefill - prefill, split.decode - decode,
                    std::max(0, split.mixed - (lost - prefill - decode))};
                most = std::max(most, most_served(slots_[slot], left,
                                                  scenario_.mixed_efficiency,
                                                  utilisation_));
            }
        }
        return most;
    }

    double served_once(std::size_t slot, const role_split& split)
    {
        // Splits with engines away differ in all three counts.
        const std::size_t span = side_ + 1;
        const std::size_t away =
            static_cast<std::size_t>(scenario_.engines - split.engines());
        const std::size_t key =
            (static_cast<std::size_t>(split.prefill) * span +
             static_cast<std::size_t>(split.decode)) *
                4 +
            std::min<std::size_t>(away, 3);
        double& known = served_[key];
        if (known < 0)
            known = served_in(slot, split);
        return known;
    }

    void improve(std::size_t slot, const role_split& from,
                 std::vector<std::vector<double>>& value,
                 std::vector<std::vector<role_split>>& next)
    {
        const int reach = static_cast<int>(scenario_.rules.max_unavailable);
        double best = -std::numeric_limits<double>::infinity();
        for (int prefill = -reach; prefill <= reach; ++prefill)
        {
            for (int decode = -reach; decode <= reach; ++decode)
            {
                const int to_prefill = from.prefill + prefill;
                const int to_decode = from.decode + decode;
                if (to_prefill < 0 || to_decode < 0 ||
                    to_prefill + to_decode > free_)
                    continue;
                const role_split to = split_at(to_prefill, to_decode);
                const int changes = changes_between(from, to);
                if (changes > reach)
                    continue;
                const double total = served_once(slot, during(from, to)) -
                                     price_ * changes +
                                     value[slot + 1][index(to)];
                // Of equal plans the one with fewer changes.
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
    int free_;
    std::size_t side_;
    std::vector<double> served_;
};

} // namespace hibiscusferry::roles_bench

#endif
