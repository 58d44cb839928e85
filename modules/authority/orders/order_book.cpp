#include "authority/orders/order_book.hpp"

#include "authority/errors/authority_error.hpp"
#include "authority/lease/lease_record.hpp"
#include <algorithm>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t order_scan_limit = 500;
constexpr std::size_t max_terminated_senders = 64;

} // namespace

order_book::order_book(const order_settings& settings,
                       std::uint64_t fencing_number, row_version fence_version,
                       identifier_source& identifiers, time_point now)
    : settings_(settings)
    , fencing_number_(fencing_number)
    , fence_version_(fence_version)
    , identifiers_(identifiers)
    , pacer_(settings.weights, now)
{
}

// ========================================================================
// Requests

result<order_actions> order_book::request(const std::string& target,
                                          const order_intent& intent,
                                          time_point now)
{
    order_actions actions;
    const auto existing = entries_.find(target);
    if (existing != entries_.end() && is_busy(existing->second))
    {
        const entry& order = existing->second;
        const order_record& latest = order.write ? order.next : order.record;
        if (!latest.is_settled() && latest.intent == intent)
            return actions;
        return make_error_code(authority_error::order_outstanding);
    }
    const result<void> allowed = check_request(target, intent, now);
    if (!allowed)
        return allowed.error();

    if (loads_weights(intent.action))
        pacer_.load_started(now);
    order_record record;
    record.service = settings_.service;
    record.region = settings_.region;
    record.target = target;
    record.order_id = identifiers_.next();
    record.intent = intent;
    record.fencing_number = fencing_number_;
    record.time_limit = settings_.time_limit;

    entry& order = entries_[target];
    order.first_seen = now;
    order.draining = false;
    order.drained = false;
    order.unresponsive = false;
    write(order, record, true, now, actions);
    return actions;
}

result<order_actions> order_book::abandon(const std::string& target,
                                          time_point now)
{
    const auto order_entry = entries_.find(target);
    if (order_entry == entries_.end() ||
        order_entry->second.record.is_settled())
        return make_error_code(authority_error::no_order);
    entry& order = order_entry->second;
    if (order.write || order.record.state != order_state::intended)
        return make_error_code(authority_error::already_sent);
    order_actions actions;
    write_outcome(order, order_state::abandoned, now, actions);
    return actions;
}

result<void> order_book::check_request(const std::string& target,
                                       const order_intent& intent,
                                       time_point now) const
{
    if (!ready_ || retired_ || superseded_)
        return make_error_code(authority_error::not_ready);
    if (!is_raised(target))
        return make_error_code(authority_error::fence_not_raised);
    const auto existing = entries_.find(target);
    if (existing != entries_.end() &&
        (has_pending_own_send(existing->second, now) ||
         has_other_sender(existing->second)))
        return make_error_code(authority_error::former_sender_may_send);
    if (makes_engine_unavailable(intent.action) &&
        unavailable_except(target) + 1 > settings_.max_unavailable)
        return make_error_code(authority_error::too_many_unavailable);
    if (loads_weights(intent.action) && !pacer_.may_load(intent.argument, now))
        return make_error_code(authority_error::paced);
    return outcome::success();
}

// ========================================================================
// Events

order_actions order_book::tick(time_point now)
{
    order_actions actions;
    if (!scanning_ && !retired_ && now >= next_scan_ && is_rescan_due(now))
    {
        scanning_ = true;
        actions.scan = order_scan{order_prefix(settings_.service), scan_after_,
                                  order_scan_limit};
    }
    for (auto& [target, order] : entries_)
        advance(order, now, actions);
    return actions;
}

order_actions
order_book::scan_finished(const result<std::vector<table_row>>& rows,
                          time_point now)
{
    scanning_ = false;
    if (!rows)
    {
        next_scan_ = now + settings_.write_retry;
        return {};
    }
    for (const table_row& row : rows.value())
        load_row(row, now);
    if (rows.value().size() >= order_scan_limit)
    {
        scan_after_ = rows.value().back().key;
        next_scan_ = now;
        return tick(now);
    }
    scan_after_.clear();
    next_scan_ = now + settings_.rescan_period;
    ready_ = true;
    return tick(now);
}

order_actions
order_book::commit_finished(const std::string& write_id,
                            const result<commit_receipt>& response,
                            time_point now)
{
    order_actions actions;
    const auto order_entry =
        std::find_if(entries_.begin(), entries_.end(),
                     [&](const auto& candidate)
                     {
                         return candidate.second.write &&
                                candidate.second.write->write_id() == write_id;
                     });
    if (order_entry == entries_.end())
        return actions;

    entry& order = order_entry->second;
    switch (order.write->finish(response, now))
    {
    case write_progress::pending:
        break;
    case write_progress::committed:
        write_committed(order, now, actions);
        break;
    case write_progress::rejected:
        write_rejected(order, now);
        break;
    }
    if (!order.write && !order.version)
    {
        entries_.erase(order_entry);
        return actions;
    }
    advance(order, now, actions);
    return actions;
}

order_actions order_book::drained(const std::string& target, time_point now)
{
    order_actions actions;
    const auto order_entry = entries_.find(target);
    if (order_entry != entries_.end() && order_entry->second.draining)
    {
        order_entry->second.drained = true;
        advance(order_entry->second, now, actions);
    }
    return actions;
}

order_actions order_book::response_received(const std::string& target,
                                            const std::string& order_id,
                                            order_response response,
                                            time_point now)
{
    order_actions actions;
    const auto order_entry = entries_.find(target);
    if (order_entry == entries_.end() ||
        order_entry->second.record.order_id != order_id)
        return actions;
    entry& order = order_entry->second;
    order.send_in_flight = false;
    order.unresponsive = response == order_response::no_response;
    order.next_send =
        now + (order.unresponsive ? settings_.unresponsive_repeat_period
                                  : settings_.repeat_period);
    if (order.unresponsive)
        order.may_take_effect_until = now + settings_.delivery_bound;
    if (response == order_response::old_fencing_number)
        superseded_ = true;

    const bool can_settle = order.record.state == order_state::sent &&
                            !order.write && !retired_ && !superseded_;
    if (can_settle && response == order_response::done)
        write_outcome(order, order_state::done, now, actions);
    if (can_settle && response == order_response::failed)
        write_outcome(order, order_state::failed, now, actions);
    advance(order, now, actions);
    return actions;
}

void order_book::fence_raised(const std::string& target)
{
    raised_targets_.insert(target);
}

void order_book::set_available(const std::string& target, bool available)
{
    if (available)
        unavailable_targets_.erase(target);
    else
        unavailable_targets_.insert(target);
}

order_actions order_book::set_targets(const std::vector<std::string>& targets,
                                      time_point now)
{
    order_actions actions;
    targets_ = {targets.begin(), targets.end()};
    for (auto& [target, order] : entries_)
    {
        if (targets_.count(target) == 0)
            advance(order, now, actions);
    }
    for (auto target = unavailable_targets_.begin();
         target != unavailable_targets_.end();)
    {
        if (targets_.count(*target) == 0)
            target = unavailable_targets_.erase(target);
        else
            ++target;
    }
    return actions;
}

void order_book::sender_terminated(const process_identity& sender)
{
    if (includes(terminated_senders_, sender))
        return;
    terminated_senders_.push_back(sender);
    if (terminated_senders_.size() > max_terminated_senders)
        terminated_senders_.erase(terminated_senders_.begin());
}

order_actions order_book::retire(time_point now)
{
    retired_ = true;
    return tick(now);
}

void order_book::set_document(order_check check, std::uint32_t max_unavailable)
{
    settings_.check = check;
    settings_.max_unavailable = max_unavailable;
}

// ========================================================================
// State

bool order_book::is_ready() const
{
    return ready_;
}

bool order_book::is_retired() const
{
    return retired_ &&
           std::none_of(entries_.begin(), entries_.end(),
                        [this](const auto& candidate)
                        {
                            const entry& order = candidate.second;
                            const bool is_sender =
                                settings_.check == order_check::none &&
                                includes(order.record.senders, settings_.self);
                            return order.write || order.send_in_flight ||
                                   is_sender;
                        });
}

bool order_book::is_superseded() const
{
    return superseded_;
}

std::vector<order_record> order_book::orders() const
{
    std::vector<order_record> records;
    for (const auto& [target, order] : entries_)
    {
        if (order.version)
            records.push_back(order.record);
    }
    return records;
}

std::vector<unsettled_order> order_book::unsettled(time_point now) const
{
    std::vector<unsettled_order> unsettled_orders;
    for (const auto& [target, order] : entries_)
    {
        const bool is_blocked =
            has_other_sender(order) || has_pending_own_send(order, now);
        if (is_busy(order) || is_blocked)
            unsettled_orders.push_back(
                {order.version ? order.record : order.next,
                 reason_for(order, now)});
    }
    return unsettled_orders;
}

std::size_t order_book::unavailable_count() const
{
    return unavailable_except("");
}

// ========================================================================
// Private: queries

bool order_book::is_raised(const std::string& target) const
{
    return settings_.check == order_check::none ||
           raised_targets_.count(target) != 0;
}

bool order_book::is_busy(const entry& order) const
{
    return order.unreadable || !order.record.is_settled() ||
           (order.write && !order.next.is_settled());
}

bool order_book::is_overdue(const entry& order, time_point now) const
{
    return now >= order.first_seen + order.record.time_limit;
}

bool order_book::has_pending_own_send(const entry& order, time_point now) const
{
    return order.send_in_flight || now < order.may_take_effect_until;
}

bool order_book::has_other_sender(const entry& order) const
{
    if (settings_.check == order_check::fencing)
        return false;
    return std::any_of(order.record.senders.begin(), order.record.senders.end(),
                       [this](const process_identity& sender) {
                           return sender != settings_.self &&
                                  !includes(terminated_senders_, sender);
                       });
}

bool order_book::is_rescan_due(time_point now) const
{
    if (!ready_ || !scan_after_.empty())
        return true;
    return now >= next_scan_ &&
           std::any_of(entries_.begin(), entries_.end(),
                       [this](const auto& candidate)
                       { return has_other_sender(candidate.second); });
}

std::size_t order_book::unavailable_except(const std::string& target) const
{
    std::set<std::string> unavailable = unavailable_targets_;
    for (const auto& [name, order] : entries_)
    {
        const order_record& latest =
            order.write && !order.next.is_settled() ? order.next : order.record;
        if (is_busy(order) && makes_engine_unavailable(latest.intent.action))
            unavailable.insert(name);
    }
    for (const std::string& name : targets_)
    {
        if (!is_raised(name))
            unavailable.insert(name);
    }
    unavailable.erase(target);
    return unavailable.size();
}

std::string order_book::reason_for(const entry& order, time_point now) const
{
    if (!is_busy(order))
        return "former_sender_may_send";
    if (order.unreadable)
        return "unreadable_row";
    if (order.write)
        return "writing";
    if (!is_raised(order.record.target))
        return "fence_not_raised";
    if (is_overdue(order, now))
        return "overdue";
    if (order.draining && !order.drained)
        return "draining";
    return order.unresponsive ? "target_silent" : "target_running";
}

} // namespace hibiscusferry
