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

/** What an order book needs to know of its service and of itself. */
struct order_settings
{
    std::string service;
    std::string region;
    process_identity self;
    /** From the service's document. */
    order_check check = order_check::fencing;
    /** From the service's document. */
    std::uint32_t max_unavailable = 1;
    /** How long an order may take, its drain included. */
    std::chrono::milliseconds time_limit{120000};
    /** Time before a lost write is sent again. */
    std::chrono::milliseconds write_retry{500};
    /** Time before an order is repeated to learn its state. */
    std::chrono::milliseconds repeat_period{1000};
    /** Time before a repeat when the target did not answer. */
    std::chrono::milliseconds unresponsive_repeat_period{5000};
    /** After its connection was closed an order without an answer takes
        effect within this time or never. */
    std::chrono::milliseconds delivery_bound{10000};
    /** Time between readings of the rows while a former sender is waited
        for. */
    std::chrono::milliseconds rescan_period{5000};
    weight_settings weights;
};

/** An order to be sent to a target: `POST /v1/orders`. */
struct send_order
{
    std::string target;
    std::string order_id;
    std::uint64_t fencing_number = 0;
    order_intent intent;
};

/** What came back for a sent order. */
enum class order_response
{
    running,             ///< the target is at work on it
    done,                ///< the target carried it out
    failed,              ///< the target tried and failed
    old_fencing_number,  ///< refused: a newer holder is there
    other_order_running, ///< refused: the target is busy
    not_sent,            ///< no byte left for the target
    no_response          ///< unknown; the connection is closed
};

/** A reading of rows, in order of key, after one key. */
struct order_scan
{
    std::string prefix;
    std::string after;
    std::size_t limit = 0;
};

/** What the caller does after an event. */
struct order_actions
{
    /** Commit each and answer with commit_finished(). */
    std::vector<table_transaction> commits;
    /** Scan and answer with scan_finished(). */
    std::optional<order_scan> scan;
    /** Ask lease_holder::may_act() right before each; when it says no, or
        when nothing left for the target, answer with not_sent. */
    std::vector<send_order> sends;
    /** Targets to drain: drain_coordinator::begin(). */
    std::vector<std::string> drains;
    /** Targets to open again: drain_coordinator::reopen(). */
    std::vector<std::string> reopens;
    /** Orders that were settled, for the time line and the roles. */
    std::vector<order_record> settled;
};

/** An order that is not settled, or that bars another, and why. */
struct unsettled_order
{
    order_record record;
    /** "draining", "writing", "target_running", "target_silent",
        "fence_not_raised", "overdue", "unreadable_row" or
        "former_sender_may_send". */
    std::string reason;
};

/** The orders of one service and region, as its holder gives them.

    An order is a row before anything is sent: `intended` while the target is
    drained, `sent` before the first byte leaves. All writes are conditional
    on the fence row, so that a process that was replaced can turn no row
    into `sent`, and sends nothing that is not a row.

    What a former holder may still have on its way is stopped by the fencing
    number. Where targets ignore it, a new holder may repeat the order that is
    in the row, but gives no other one until each process that may have sent
    it has taken itself off the row's senders or cannot run any more.

    One object for one holding; made when the lease is acquired. Routers get
    no permission from this holder before is_ready() and before the drains
    that the first readings asked for have begun. When the lease is lost, call
    retire() and keep the object until is_retired(); make no other one for
    the service before that.
*/
class order_book
{
public:
    /** @param identifiers  for order and write ids; must outlive the
                            object */
    order_book(const order_settings& settings, std::uint64_t fencing_number,
               row_version fence_version, identifier_source& identifiers,
               time_point now);

    // =================================================================
    // Requests

    /** Takes an order in.

        The same intent as the outstanding one is accepted without effect.
        Errors: not_ready, fence_not_raised, order_outstanding,
        former_sender_may_send, too_many_unavailable, paced.
    */
    result<order_actions> request(const std::string& target,
                                  const order_intent& intent, time_point now);

    /** Gives up an order that was not sent; already_sent otherwise. */
    result<order_actions> abandon(const std::string& target, time_point now);

    // =================================================================
    // Events

    /** To be called at least every 100 ms; the first call asks for the
        rows. */
    order_actions tick(time_point now);

    order_actions scan_finished(const result<std::vector<table_row>>& rows,
                                time_point now);

    order_actions commit_finished(const std::string& write_id,
                                  const result<commit_receipt>& answer,
                                  time_point now);

    /** No router sends to the target and it is idle. */
    order_actions drained(const std::string& target, time_point now);

    order_actions response_received(const std::string& target,
                                    const std::string& order_id,
                                    order_response answer, time_point now);

    /** The target confirmed the fencing number. */
    void fence_raised(const std::string& target);

    /** Whether the target serves, apart from any order. */
    void set_available(const std::string& target, bool available);

    /** The service's targets as listed now. A target that is gone will not
        come back under its id; its order is abandoned. */
    order_actions set_targets(const std::vector<std::string>& targets,
                              time_point now);

    /** A process cannot send any more: its host is gone from the list for
        longer than the list lags, or its host runs a later incarnation on
        the same port, and its connections are closed. */
    void sender_terminated(const process_identity& sender);

    /** The lease is lost or released: sends nothing more, and takes this
        process off the rows' senders once nothing of its is on its way. */
    order_actions retire(time_point now);

    /** The document in force now. */
    void set_document(order_check check, std::uint32_t max_unavailable);

    // =================================================================
    // State

    /** Whether the rows of the former holder have been read. */
    bool is_ready() const;

    /** Whether nothing of this process can still be sent or written. */
    bool is_retired() const;

    /** Whether a write showed that another process is the holder. */
    bool is_superseded() const;

    /** The last order of each target, in order of target. */
    std::vector<order_record> orders() const;

    /** What is not settled and why, in order of target. */
    std::vector<unsettled_order> unsettled(time_point now) const;

    /** Engines that are away for an order, not raised or unavailable. */
    std::size_t away() const;

private:
    struct entry
    {
        order_record record;
        /** The version of the row; none while there is no row. */
        std::optional<row_version> version;
        /** The value being written, while `write` is there. */
        order_record next;
        std::optional<settled_write> write;
        time_point first_seen;
        /** The row's value is not what this version writes. */
        bool unreadable = false;
        bool draining = false;
        bool drained = false;
        bool send_open = false;
        bool silent = false;
        /** An own send without an answer may take effect until then. */
        time_point quiet_from;
        time_point next_send;
    };

    bool is_raised(const std::string& target) const;
    bool is_busy(const entry& order) const;
    bool is_overdue(const entry& order, time_point now) const;
    bool has_own_send(const entry& order, time_point now) const;
    bool has_foreign_sender(const entry& order) const;
    bool is_rescan_due(time_point now) const;
    std::size_t away_besides(const std::string& target) const;
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
    std::set<std::string> raised_;
    std::set<std::string> unavailable_;
    std::vector<process_identity> cannot_run_;
};

} // namespace hibiscusferry

#endif
