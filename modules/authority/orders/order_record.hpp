#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_RECORD_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_RECORD_HPP

#include "authority/lease/process_identity.hpp"
#include "foundation/foundation.hpp"
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** What a target is told to do. */
enum class order_action
{
    set_role,    ///< argument: prefill, decode or mixed
    load_model,  ///< argument: MODEL or MODEL@VERSION
    load_adapter ///< argument: ADAPTER or ADAPTER@VERSION
};

/** How an order stands. */
enum class order_state
{
    intended, ///< in the table; certainly not sent yet
    sent,     ///< may have been sent, by any of the senders
    done,     ///< the target carried it out
    failed,   ///< the target tried and failed
    abandoned ///< given up before it was sent, or the target is gone
};

/** What an order is to achieve; two orders conflict when these differ. */
struct order_intent
{
    order_action action = order_action::set_role;
    std::string argument;
};

bool operator==(const order_intent& left, const order_intent& right);
bool operator!=(const order_intent& left, const order_intent& right);

/** Whether an order of this kind takes the engine away from serving. */
bool makes_engine_unavailable(order_action action);

/** Whether an order of this kind reads from the weight store. */
bool loads_weights(order_action action);

/** "set_role", "load_model" or "load_adapter". */
std::string to_text(order_action action);

/** "intended", "sent", "done", "failed" or "abandoned". */
std::string to_text(order_state state);

/** The value of an order row: the last order for a target. */
struct order_record
{
    std::string service;
    std::string region;
    std::string target;
    std::string order_id;
    order_intent intent;
    std::uint64_t fencing_number = 0;
    order_state state = order_state::intended;
    /** How long a holder tries, counted on its own clock from when it first
        saw the order. */
    std::chrono::milliseconds time_limit{0};
    /** Processes that may still send the order. */
    std::vector<process_identity> senders;
    /** The id of the write that made this value. */
    std::string write_id;

    /** Whether the order is done, failed or abandoned. */
    bool is_settled() const;

    /** The row's value. */
    std::string text() const;

    /** Reads what text() wrote; authority_error::bad_row otherwise. */
    static result<order_record> parse(const std::string& text);
};

/** "orders/SERVICE/": what all keys of a service's orders begin with. */
std::string order_prefix(const std::string& service);

/** "orders/SERVICE/TARGET". */
std::string order_key(const std::string& service, const std::string& target);

} // namespace hibiscusferry

#endif
