#ifndef HIBISCUSFERRY_ADMISSION_QUEUE_CUSTOMER_LANE_HPP
#define HIBISCUSFERRY_ADMISSION_QUEUE_CUSTOMER_LANE_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** The order of the customers within one priority of a fair_queue: by served
    tokens, for whose turn it is, and by waiting cost, for who is shed first.

    Customers are small indexes that the fair_queue gives out. All operations
    are O(log n) in the customers that have requests waiting.
*/
class customer_lane
{
public:
    static constexpr std::size_t greatest_scan = 16;

    /** Adds a customer or starts an index afresh. */
    void reset(std::uint32_t customer);

    /** A request of `cost` begins to wait; the customer is lifted if it had
        none. @param weight  the customer's share */
    void request_added(std::uint32_t customer, double cost, double weight);

    /** The customer's first waiting request changed.
        @param first_cost  its cost; 0 when none is left */
    void first_changed(std::uint32_t customer, double first_cost);

    /** A request of `cost` no longer waits. Call first_changed() too if it
        was the first. */
    void request_removed(std::uint32_t customer, double cost);

    /** Charges the service of a request that is taken now. */
    void serve(std::uint32_t customer, double cost, double weight);

    /** Corrects the charged service; negative to give back. */
    void charge(std::uint32_t customer, double cost, double weight);

    /** Renews the orders after a change of weight. */
    void weight_changed(std::uint32_t customer, double weight);

    /** The waiting customer that was served least; none when none waits. */
    std::optional<std::uint32_t> least_served() const;

    /** The waiting customer that was served least among those that `accept`
        takes; only the first `greatest_scan` are asked. */
    template <class Predicate>
    std::optional<std::uint32_t> least_served_of(Predicate accept) const
    {
        std::size_t asked = 0;
        for (auto next = by_counter_.begin();
             next != by_counter_.end() && asked < greatest_scan; ++next)
        {
            if (accept(next->second))
                return next->second;
            ++asked;
        }
        return std::nullopt;
    }

    /** The counter that a customer who begins to wait now is lifted to. */
    double virtual_time() const;

    /** The waiting customer to shed from: the one with most cost behind its
        first request, or if none has any the one that was served most. */
    std::optional<std::uint32_t> heaviest() const;

    double counter(std::uint32_t customer) const;
    double waiting_cost(std::uint32_t customer) const;
    double first_cost(std::uint32_t customer) const;

    /** The cost that waits, of all customers. */
    double waiting_cost() const;

    /** The weights of all customers that have requests waiting. */
    double waiting_weight() const;

private:
    struct entry
    {
        double counter = 0;
        double waiting_cost = 0;
        double first_cost = 0;
        double weight = 1;
        std::uint32_t requests = 0;
    };

    using customer_order = std::set<std::pair<double, std::uint32_t>>;

    static double excess(const entry& state);
    void order(std::uint32_t customer);
    void remove_from_order(std::uint32_t customer);

    std::vector<entry> entries_;
    customer_order by_counter_;
    customer_order by_excess_;
    /** The counter of the customer served last, before it was charged. */
    double floor_ = 0;
    double waiting_cost_ = 0;
    double waiting_weight_ = 0;
};

} // namespace hibiscusferry

#endif
