#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_BOOK_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_BOOK_HPP

#include "authority/orders/order_record.hpp"
#include "authority/orders/weight_pacer.hpp"
#include "authority/store/settled_write.hpp"
#include "document/document.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Configuration of an order book. */
struct order_settings
{
    std::string service;
    std::string region;
    process_identity self;
    /** Whether the targets check fencing numbers, from the service's
        document. */
    order_check check = order_check::fencing;
    /** The maximum number of engines unavailable at the same time, from the
        service's document. */
    std::uint32_t max_unavailable = 1;
    /** The time limit of an order, including its drain. */
    std::chrono::milliseconds time_limit{120000};
    /** The delay before a write without a response is sent again. */
    std::chrono::milliseconds write_retry{500};
    /** The interval at which an order is resent to query its state. */
    std::chrono::milliseconds repeat_period{1000};
    /** The interval at which an order is resent to a target that did not
        respond. */
    std::chrono::milliseconds unresponsive_repeat_period{5000};
    /** After its connection is closed, an order without a response takes effect
        within this time or not at all. */
    std::chrono::milliseconds delivery_bound{10000};
    /** The interval between scans of the rows while a former sender may still
        send. */
    std::chrono::milliseconds rescan_period{5000};
    weight_settings weights;
};

/** An order to be sent to a target with `POST /v1/orders`. */
struct send_order
{
    std::string target;
    std::string order_id;
    std::uint64_t fencing_number = 0;
    order_intent intent;
};

/** The result of sending an order. */
enum class order_response
{
    running,            ///< the target is processing the order
    done,               ///< the target completed the operation
    failed,             ///< the target attempted the operation and failed
    old_fencing_number, ///< rejected: the target has received a greater fencing
                        ///< number
    other_order_running, ///< rejected: the target is processing another order
    not_sent,            ///< no data was sent to the target
    no_response          ///< outcome unknown; the connection is closed
};

/** A request to scan rows in key order, starting after a given key. */
struct order_scan
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/** The actions the caller has to perform after an event. */
struct order_actions
{
    /** Commit each transaction and pass its result to commit_finished(). */
    std::vector<table_transaction> commits;
    /** Scan the rows and pass the result to scan_finished(). */
    std::optional<order_scan> scan;
    /** Call lease_holder::may_act() immediately before sending each. If it
        returns false, or if no data was sent to the target, report not_sent. */
    std::vector<send_order> sends;
    /** The targets to drain with drain_coordinator::begin(). */
    std::vector<std::string> drains;
    /** The targets to reopen with drain_coordinator::reopen(). */
    std::vector<std::string> reopens;
    /** The orders that were settled, for the timeline and the role policy. */
    std::vector<order_record> settled;
};

/** An order that is not settled or that blocks another order, with the
    reason. */
struct unsettled_order
{
    order_record record;
    /** "draining", "writing", "target_running", "target_silent",
        "fence_not_raised", "overdue", "unreadable_row" or
        "former_sender_may_send". */
    std::string reason;
};

/** The orders of one service and region, managed by the lease holder.

    An order is stored as a row before anything is sent: its state is `intended`
    while the target is being drained, and becomes `sent` before the first byte
    is sent. All writes are conditional on the fence row. A process that has
    been replaced therefore cannot change a row to `sent`, and no process sends
    an order that is not stored.

    Orders of a former holder that are still in transit are rejected by the
    fencing number. Where targets ignore fencing numbers, a new holder may
    resend the order in the row, but issues no other order until each process
    that may have sent it has removed itself from the row's senders or has
    terminated.

    Create one object when the lease is acquired. Do not grant routers any
    permission before is_ready() and before the drains requested by the first
    scans have begun. When the lease is lost, call retire(), keep the object
    until is_retired(), and create no other one for the service before that.
*/
class order_book
{
public:
    /** @param identifiers the source of order and write ids; must outlive the
            object */
    order_book(const order_settings& settings, std::uint64_t fencing_number,
               row_version fence_version, identifier_source& identifiers,
               time_point now);

    // =================================================================
    // Requests

    /** Requests an order.

        A request with the same intent as the outstanding order is accepted
        without effect.

        @returns the actions, or one of the errors not_ready, fence_not_raised,
            order_outstanding, former_sender_may_send, too_many_unavailable and
            paced
    */
    result<order_actions> request(const std::string& target,
                                  const order_intent& intent, time_point now);

    /** Withdraws an order that has not been sent. Fails with already_sent if it
        may have been. */
    result<order_actions> abandon(const std::string& target, time_point now);

    // =================================================================
    // Events

    /** Must be called at least every 100 ms. The first call requests a scan. */
    order_actions tick(time_point now);

    order_actions scan_finished(const result<std::vector<table_row>>& rows,
                                time_point now);

    order_actions commit_finished(const std::string& write_id,
                                  const result<commit_receipt>& response,
                                  time_point now);

    /** The target is idle and no router sends to it any longer. */
    order_actions drained(const std::string& target, time_point now);

    order_actions response_received(const std::string& target,
                                    const std::string& order_id,
                                    order_response response, time_point now);

    /** The target confirmed the fencing number. */
    void fence_raised(const std::string& target);

    /** Sets whether the target is serving, independently of any order. */
    void set_available(const std::string& target, bool available);

    /** Sets the currently listed targets. Target ids are never reused, so the
        order of a target that is no longer listed is abandoned. */
    order_actions set_targets(const std::vector<std::string>& targets,
                              time_point now);

    /** A process can no longer send: either its host has been missing from the
        host list for longer than the list's maximum lag, or its host runs a
        later incarnation on the same port; and its connections are closed. */
    void sender_terminated(const process_identity& sender);

    /** The lease was lost or released. The object sends no further orders and
        removes this process from the senders in the rows once none of its
        orders is in transit. */
    order_actions retire(time_point now);

    /** Applies the settings of the current document. */
    void set_document(order_check check, std::uint32_t max_unavailable);

    // =================================================================
    // State

    /** Returns true if the rows of the former holder have been read. */
    bool is_ready() const;

    /** Returns true if this process can no longer send or write anything. */
    bool is_retired() const;

    /** Returns true if a write or response showed that another process is the
        holder. */
    bool is_superseded() const;

    /** The most recent order of each target, sorted by target. */
    std::vector<order_record> orders() const;

    /** The orders that are not settled, with reasons, sorted by target. */
    std::vector<unsettled_order> unsettled(time_point now) const;

    /** The number of engines that are unavailable because of an order, an
        unconfirmed fencing number or their own state. */
    std::size_t unavailable_count() const;

private:
    struct entry
    {
        order_record record;
        /** The version of the row; none if there is no row. */
        std::optional<row_version> version;
        /** The value being written. Valid while `write` is set. */
        order_record next;
        std::optional<settled_write> write;
        time_point first_seen;
        /** The row's value could not be parsed. */
        bool unreadable = false;
        bool draining = false;
        bool drained = false;
        bool send_in_flight = false;
        bool unresponsive = false;
        /** Until this time, an order sent by this process without a response
            may still take effect. */
        time_point may_take_effect_until;
        time_point next_send;
    };

    bool is_raised(const std::string& target) const;
    bool is_busy(const entry& order) const;
    bool is_overdue(const entry& order, time_point now) const;
    bool has_pending_own_send(const entry& order, time_point now) const;
    bool has_other_sender(const entry& order) const;
    bool is_rescan_due(time_point now) const;
    std::size_t unavailable_except(const std::string& target) const;
    std::string reason_for(const entry& order, time_point now) const;
    result<void> check_request(const std::string& target,
                               const order_intent& intent,
                               time_point now) const;

    void load_row(const table_row& row, time_point now);
    void write(entry& order, order_record next, bool fenced, time_point now,
               order_actions& actions);
    void write_committed(entry& order, time_point now, order_actions& actions);
    void write_rejected(entry& order, time_point now);
    void write_sent(entry& order, time_point now, order_actions& actions);
    void write_outcome(entry& order, order_state state, time_point now,
                       order_actions& actions);
    void advance(entry& order, time_point now, order_actions& actions);
    void advance_unsettled(entry& order, time_point now,
                           order_actions& actions);
    void advance_own_sends(entry& order, time_point now,
                           order_actions& actions);
    void send(entry& order, time_point now, order_actions& actions);

    order_settings settings_;
    std::uint64_t fencing_number_;
    row_version fence_version_;
    identifier_source& identifiers_;
    weight_pacer pacer_;

    bool ready_ = false;
    bool scanning_ = false;
    bool retired_ = false;
    bool superseded_ = false;
    std::string scan_after_;
    time_point next_scan_;
    std::map<std::string, entry> entries_;
    std::set<std::string> targets_;
    std::set<std::string> raised_targets_;
    std::set<std::string> unavailable_targets_;
    std::vector<process_identity> terminated_senders_;
};

} // namespace hibiscusferry

#endif
