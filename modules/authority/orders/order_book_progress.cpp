// The part of order_book that reads and writes rows and advances orders.
#include "authority/orders/order_book.hpp"

#include "authority/errors/authority_error.hpp"
#include "authority/lease/lease_record.hpp"

namespace hibiscusferry
{

// ========================================================================
// Private: rows

void order_book::load_row(const table_row& row, time_point now)
{
    const std::string target =
        row.key.substr(order_prefix(settings_.service).size());
    const result<order_record> record = order_record::parse(row.value);
    if (record && record.value().region != settings_.region)
        return;
    entry& order = entries_[target];
    if (order.write || (order.version && *order.version >= row.version))
        return;
    order.unreadable = !record || record.value().target != target;
    if (order.unreadable)
    {
        order.version = row.version;
        order.record.target = target;
        return;
    }
    if (!order.version || order.record.order_id != record.value().order_id)
    {
        order.first_seen = now;
        order.next_send = now;
        order.draining = false;
        order.drained = false;
    }
    order.version = row.version;
    order.record = record.value();
}

void order_book::write(entry& order, order_record next, bool fenced,
                       time_point now, order_actions& actions)
{
    next.write_id = identifiers_.next();
    const std::string key = order_key(settings_.service, next.target);
    table_transaction transaction;
    transaction.write_id = next.write_id;
    if (fenced)
    {
        transaction.conditions.push_back(
            {fence_key(settings_.region, settings_.service), fence_version_});
    }
    transaction.conditions.push_back({key, order.version});
    transaction.writes.push_back({key, next.text()});

    order.next = std::move(next);
    order.write.emplace(transaction, key, settings_.write_retry);
    actions.commits.push_back(*order.write->due(now));
}

void order_book::write_committed(entry& order, time_point now,
                                 order_actions& actions)
{
    const bool was_settled = order.version && order.record.is_settled() &&
                             order.record.order_id == order.next.order_id;
    order.version = order.write->version();
    order.record = order.next;
    order.write.reset();
    order.next_send = now;
    if (!order.record.is_settled() || was_settled || retired_)
        return;

    order.draining = false;
    order.drained = false;
    if (loads_weights(order.record.intent.action))
    {
        if (order.record.state == order_state::done)
            pacer_.load_succeeded(order.record.intent.argument);
        if (order.record.state == order_state::failed)
            pacer_.load_failed(order.record.intent.argument, now);
    }
    actions.settled.push_back(order.record);
    if (makes_engine_unavailable(order.record.intent.action))
        actions.reopens.push_back(order.record.target);
}

void order_book::write_rejected(entry& order, time_point now)
{
    const std::optional<table_row> conflict = order.write->conflict();
    order.write.reset();
    if (!conflict)
    {
        // The fence row has changed, so another process is the holder.
        superseded_ = true;
        return;
    }
    if (conflict->version == 0)
        order.version.reset();
    else
        load_row(*conflict, now);
}

void order_book::write_sent(entry& order, time_point now,
                            order_actions& actions)
{
    order_record next = order.record;
    next.state = order_state::sent;
    next.fencing_number = fencing_number_;
    if (!includes(next.senders, settings_.self))
        next.senders.push_back(settings_.self);
    write(order, next, true, now, actions);
}

void order_book::write_outcome(entry& order, order_state state, time_point now,
                               order_actions& actions)
{
    order_record next = order.record;
    next.state = state;
    if (settings_.check == order_check::fencing)
        next.senders.clear();
    else if (!has_pending_own_send(order, now))
        remove_process(next.senders, settings_.self);
    write(order, next, true, now, actions);
}

// ========================================================================
// Private: progress

void order_book::advance(entry& order, time_point now, order_actions& actions)
{
    if (order.write)
    {
        std::optional<table_transaction> repeated = order.write->due(now);
        if (repeated)
            actions.commits.push_back(std::move(*repeated));
        return;
    }
    if (!retired_ && !superseded_ && !order.record.is_settled())
        advance_unsettled(order, now, actions);
    else
        advance_own_sends(order, now, actions);
}

void order_book::advance_unsettled(entry& order, time_point now,
                                   order_actions& actions)
{
    if (!ready_ || order.unreadable)
        return;
    if (!targets_.empty() && targets_.count(order.record.target) == 0)
    {
        write_outcome(order, order_state::abandoned, now, actions);
        return;
    }
    const bool intended = order.record.state == order_state::intended;
    if (intended && is_overdue(order, now))
    {
        write_outcome(order, order_state::abandoned, now, actions);
        return;
    }
    // If a former holder may have sent the order, drain the target again:
    // routers may have sent new work since.
    const bool adopted = !intended &&
                         order.record.fencing_number == fencing_number_ &&
                         includes(order.record.senders, settings_.self);
    const bool drain_first =
        !adopted && !order.drained &&
        makes_engine_unavailable(order.record.intent.action);
    if (drain_first)
    {
        if (!order.draining)
            actions.drains.push_back(order.record.target);
        order.draining = true;
        return;
    }
    if (!is_raised(order.record.target))
        return;
    if (!adopted)
        write_sent(order, now, actions);
    else if (!order.send_in_flight && now >= order.next_send)
        send(order, now, actions);
}

void order_book::advance_own_sends(entry& order, time_point now,
                                   order_actions& actions)
{
    if (settings_.check == order_check::fencing ||
        has_pending_own_send(order, now) || !order.version ||
        !includes(order.record.senders, settings_.self))
        return;
    if (superseded_ && !retired_)
        return;
    order_record next = order.record;
    remove_process(next.senders, settings_.self);
    write(order, next, false, now, actions);
}

void order_book::send(entry& order, time_point now, order_actions& actions)
{
    order.send_in_flight = true;
    order.next_send = now + settings_.repeat_period;
    actions.sends.push_back({order.record.target, order.record.order_id,
                             fencing_number_, order.record.intent});
}

} // namespace hibiscusferry
