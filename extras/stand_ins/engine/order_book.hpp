#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ORDER_BOOK_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ORDER_BOOK_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** An order as received. */
struct engine_order
{
    std::string order_id;
    std::uint64_t fencing_number = 0;
    /** "set_role", "load_model" or "load_adapter". */
    std::string action;
    std::string argument;
};

/** What becomes of an order that arrives. */
enum class order_verdict
{
    accepted,
    repeated,
    stale_fencing_number,
    other_order_running
};

/** The verdict's name, as in the engines' answers. */
const char* to_text(order_verdict verdict);

/** An order's arrival, for the counts. */
struct order_arrival
{
    engine_order order;
    order_verdict verdict = order_verdict::accepted;
};

/** The orders that an engine has received, and its fence. */
class order_book
{
public:
    /** @param checks_fencing  whether old fencing numbers are refused */
    explicit order_book(bool checks_fencing);

    order_verdict receive(const engine_order& order);

    /** Ends the running order. */
    void finish_running(bool succeeded);

    /** "running", "done", "failed", or empty for an unknown order. */
    std::string state_of(const std::string& order_id) const;

    /** @returns the greatest fencing number seen, this one included */
    std::uint64_t raise_fence(std::uint64_t fencing_number);

    const std::vector<order_arrival>& arrivals() const;

    /** Orders that came while a different one was running, or that were
        obeyed although a greater fencing number had been seen. */
    std::uint64_t conflicting_orders() const;
    std::uint64_t accepted_stale_orders() const;

private:
    order_verdict evaluate(const engine_order& order);

    bool checks_fencing_;
    std::uint64_t max_fencing_number_ = 0;
    std::string running_order_;
    std::map<std::string, std::string> states_;
    std::vector<order_arrival> arrivals_;
    std::uint64_t conflicting_orders_ = 0;
    std::uint64_t accepted_stale_orders_ = 0;
};

} // namespace hibiscusferry::stand_ins

#endif
