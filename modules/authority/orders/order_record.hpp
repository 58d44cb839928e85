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

/** The operation a target is ordered to perform. */
enum class order_action
{
    set_role,    ///< argument: prefill, decode or mixed
    load_model,  ///< argument: MODEL or MODEL@VERSION
    load_adapter ///< argument: ADAPTER or ADAPTER@VERSION
};

/** The state of an order. */
enum class order_state
{
    intended, ///< stored in the table; certainly not sent yet
    sent,     ///< may have been sent, by any of the senders
    done,     ///< the target completed the operation
    failed,   ///< the target attempted the operation and failed
    abandoned ///< withdrawn before it was sent, or the target no longer exists
};

/** The requested outcome of an order. Two orders conflict if their intents
    differ. */
struct order_intent
{
    order_action action = order_action::set_role;
    std::string argument;
};

bool operator==(const order_intent& left, const order_intent& right);
bool operator!=(const order_intent& left, const order_intent& right);

/** Returns true if an engine cannot serve requests during this operation. */
bool makes_engine_unavailable(order_action action);

/** Returns true if this operation loads weights from the weight store. */
bool loads_weights(order_action action);

/** Returns "set_role", "load_model" or "load_adapter". */
std::string to_text(order_action action);

/** Returns "intended", "sent", "done", "failed" or "abandoned". */
std::string to_text(order_state state);

/** The value of an order row, which holds the most recent order for a
    target. */
struct order_record
{
    std::string service;
    std::string region;
    std::string target;
    std::string order_id;
    order_intent intent;
    std::uint64_t fencing_number = 0;
    order_state state = order_state::intended;
    /** How long a holder attempts the order, measured with its own clock from
        when it first observed the order. */
    std::chrono::milliseconds time_limit{0};
    /** The processes that may still send the order. */
    std::vector<process_identity> senders;
    /** The id of the write that produced this value. */
    std::string write_id;

    /** Returns true if the order is done, failed or abandoned. */
    bool is_settled() const;

    /** Serializes the record to the row's value. */
    std::string text() const;

    /** Parses a value written by text(). Fails with
        authority_error::bad_row. */
    static result<order_record> parse(const std::string& text);
};

/** The common prefix of the keys of a service's orders, "orders/SERVICE/". */
std::string order_prefix(const std::string& service);

/** The key of a target's order, "orders/SERVICE/TARGET". */
std::string order_key(const std::string& service, const std::string& target);

} // namespace hibiscusferry

#endif
