#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ORDER_BOOK_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_ORDER_BOOK_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** An instruction to an engine to change its role or load a model. */
struct engine_order
{
    std::string order_id;
    std::uint64_t fencing_number = 0;
    /** "set_role", "load_model" or "load_adapter". */
    std::string action;
    std::string argument;
};

/** The decision on a received order. */
enum class order_verdict
{
    accepted,
    repeated,
    stale_fencing_number,
    other_order_running
};

/** Returns the name of a verdict as it appears in the engine's responses. */
const char* to_text(order_verdict verdict);

/** A received order and its verdict, as reported by /control/counts. */
struct order_arrival
{
    engine_order order;
    order_verdict verdict = order_verdict::accepted;
};

/** The orders received by an engine and the highest fencing number seen. */
class order_book
{
public:
    /** @param checks_fencing  whether stale fencing numbers are refused */
    explicit order_book(bool checks_fencing);

    order_verdict receive(const engine_order& order);

    /** Completes the running order. */
    void finish_running(bool succeeded);

    /** @returns "running", "done" or "failed", or an empty string for an
        unknown order */
    std::string state_of(const std::string& order_id) const;

    /** @returns the highest fencing number seen, including this one */
    std::uint64_t raise_fence(std::uint64_t fencing_number);

    const std::vector<order_arrival>& arrivals() const;

    /** Returns the number of orders that were received while another order
        was running, or that were accepted although a higher fencing number
        had been seen. */
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
