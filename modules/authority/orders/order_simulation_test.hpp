#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_SIMULATION_TEST_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_SIMULATION_TEST_HPP

#include "authority/authority.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <random>

namespace hibiscusferry
{

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step_duration{50};
constexpr seconds host_list_lag{10};

/** Faults injected into the fakes, which the oracle must detect. */
enum class injected_fault
{
    none,
    fence_confirmed_but_not_stored, ///< targets confirm a number without
                                    ///< storing it
    paused_host_reported_removed,   ///< the host list drops hosts that are only
                                    ///< paused
    store_ignores_conditions ///< a delayed write takes effect although its
                             ///< condition fails
};

/** One incarnation of a controller with its lease and its orders. */
struct controller_process
{
    controller_process(const std::string& host, const std::string& incarnation,
                       identifier_source& identifiers)
        : self{host, incarnation}
        , lease("r", "s", self, {}, identifiers)
    {
        lease.set_live_hosts({"a", "b", "c"});
    }

    process_identity self;
    lease_holder lease;
    std::unique_ptr<order_book> book;
    std::unique_ptr<fence_raiser> fence;
    bool book_retired = false;
    bool killed = false;
    time_point paused_until;
};

/** A target and the oracle's record of the orders that took effect there. */
struct order_target
{
    std::string name;
    std::uint64_t greatest_number = 0;
    std::string running;
    time_point running_until;
    std::vector<std::string> processed_orders;
    std::vector<std::string> effects;
};

/** Simulates three hosts, a table and targets, with faults generated from a
    seed. Detects orders that take effect out of turn, for example when a
    replaced lease holder wakes up and sends a delayed order. */
class order_simulation
{
public:
    order_simulation(order_check check, injected_fault fault,
                     std::uint64_t seed)
        : check_(check)
        , fault_(fault)
        , random_(seed)
        , identifiers_(seed)
    {
        for (const char* host : {"a", "b", "c"})
            start_process(host);
        for (const char* name : {"t1", "t2", "t3"})
        {
            targets_.emplace_back();
            targets_.back().name = name;
        }
    }

    /** Runs with faults and then without. Returns the violated rule, or an
        empty string. */
    std::string run()
    {
        faulty_ = true;
        advance_until(time_point(seconds(400)));
        faulty_ = false;
        advance_until(time_point(seconds(580)));
        if (violation_.empty())
            check_all_settled();
        return violation_;
    }

    std::size_t effects() const
    {
        std::size_t count = 0;
        for (const order_target& target : targets_)
            count += target.effects.size();
        return count;
    }

private:
    using process_pointer = std::shared_ptr<controller_process>;

    bool chance(double probability)
    {
        return faulty_ &&
               std::uniform_real_distribution<double>()(random_) < probability;
    }

    std::size_t random_below(std::size_t count)
    {
        return random_() % count;
    }

    milliseconds delay(int max_milliseconds)
    {
        return milliseconds(
            1 + random_below(static_cast<std::size_t>(max_milliseconds)));
    }

    void start_process(const std::string& host)
    {
        processes_.push_back(std::make_shared<controller_process>(
            host, identifiers_.next(), identifiers_));
    }

    void schedule(time_point when, std::function<void()> action)
    {
        queue_.emplace(when, std::move(action));
    }

    /** Runs an action in a process. The action is postponed while the process
        is paused, and dropped once it is killed. */
    void in_process(const process_pointer& process, time_point when,
                    std::function<void()> action)
    {
        schedule(when,
                 [this, process, action]()
                 {
                     if (process->killed)
                         return;
                     if (now_ < process->paused_until)
                         in_process(process, process->paused_until, action);
                     else
                         action();
                 });
    }

    void advance_until(time_point end)
    {
        while (now_ < end && violation_.empty())
        {
            now_ += step_duration;
            while (!queue_.empty() && queue_.begin()->first <= now_)
            {
                const std::function<void()> action = queue_.begin()->second;
                queue_.erase(queue_.begin());
                action();
            }
            const std::vector<process_pointer> processes = processes_;
            for (const process_pointer& process : processes)
                step_process(process);
            check_single_holder();
        }
    }

    void check_single_holder()
    {
        std::size_t acting = 0;
        for (const process_pointer& process : processes_)
            acting += process->lease.may_act(now_) ? 1U : 0U;
        if (acting > 1)
            violation_ = "two processes may act at once";
    }

    void step_process(const process_pointer& process)
    {
        if (chance(0.0015))
            pause(process);
        if (chance(0.0005))
            kill(process);
        if (process->killed || now_ < process->paused_until)
            return;
        perform_lease(process, process->lease.tick(now_));
        if (process->fence)
            raise_fences(process);
        if (!process->book)
            return;
        if (process->book->is_superseded())
            retire(process);
        perform_book(process, process->book->tick(now_));
        if (process->book_retired && process->book->is_retired())
            process->book.reset();
        else if (!process->book_retired && random_below(40) == 0)
            request_random_order(process);
    }

    void pause(const process_pointer& process)
    {
        process->paused_until = now_ + milliseconds(random_below(60000));
        if (fault_ != injected_fault::paused_host_reported_removed)
            return;
        const process_identity paused = process->self;
        schedule(now_ + milliseconds(100),
                 [this, paused]() { notify_terminated(paused); });
        terminated_.push_back(paused);
    }

    void kill(const process_pointer& process)
    {
        process->killed = true;
        const process_identity terminated = process->self;
        schedule(now_ + host_list_lag,
                 [this, terminated]() { notify_terminated(terminated); });
        start_process(terminated.host);
        for (auto position = processes_.begin(); position != processes_.end();)
            position =
                (*position)->killed ? processes_.erase(position) : position + 1;
        terminated_.push_back(terminated);
    }

    void notify_terminated(const process_identity& terminated)
    {
        for (const process_pointer& process : processes_)
        {
            if (process->book)
                process->book->sender_terminated(terminated);
        }
    }

    // Controller behavior.

    void perform_lease(const process_pointer& process,
                       const lease_actions& actions)
    {
        if (actions.read)
        {
            const result<table_row> row = table_.read(process->lease.key());
            in_process(process, now_ + delay(100),
                       [=]() {
                           perform_lease(process,
                                         process->lease.row_read(row, now_));
                       });
        }
        if (actions.commit)
        {
            commit(process, *actions.commit,
                   [=](const result<commit_receipt>& response)
                   {
                       perform_lease(process, process->lease.commit_finished(
                                                  actions.commit->write_id,
                                                  response, now_));
                   });
        }
        if (actions.change == lease_change::lost ||
            actions.change == lease_change::released)
            retire(process);
        const bool is_new_holder = !process->book && process->lease.is_holder();
        if (is_new_holder)
            begin_holding(process);
    }

    void begin_holding(const process_pointer& process)
    {
        order_settings settings;
        settings.service = "s";
        settings.region = "r";
        settings.self = process->self;
        settings.check = check_;
        settings.time_limit = seconds(20);
        process->book = std::make_unique<order_book>(
            settings, process->lease.fencing_number(),
            process->lease.fence_version(), identifiers_, now_);
        process->book_retired = false;
        for (const process_identity& terminated : terminated_)
            process->book->sender_terminated(terminated);
        if (check_ == order_check::none)
            return;
        process->fence = std::make_unique<fence_raiser>(
            process->lease.fencing_number(), fence_settings(), now_);
        process->fence->set_targets({"t1", "t2", "t3"}, now_);
    }

    void retire(const process_pointer& process)
    {
        if (!process->book || process->book_retired)
            return;
        process->book_retired = true;
        process->fence.reset();
        perform_book(process, process->book->retire(now_));
    }

    void raise_fences(const process_pointer& process)
    {
        for (const raise_fence& request : process->fence->tick(now_))
        {
            order_target& target = target_of(request.target);
            const bool lost = chance(0.2);
            if (!lost &&
                fault_ != injected_fault::fence_confirmed_but_not_stored)
            {
                target.greatest_number =
                    std::max(target.greatest_number, request.fencing_number);
            }
            const std::uint64_t greatest =
                std::max(target.greatest_number, request.fencing_number);
            order_book* const book = process->book.get();
            in_process(process, now_ + delay(100),
                       [=]()
                       {
                           if (!process->fence || process->book.get() != book)
                               return;
                           if (lost)
                               process->fence->failed(request.target, now_);
                           else
                               process->fence->confirmed(request.target,
                                                         greatest);
                           if (process->fence->is_raised(request.target))
                               process->book->fence_raised(request.target);
                       });
        }
    }

    void request_random_order(const process_pointer& process)
    {
        static const char* const roles[] = {"prefill", "decode", "mixed"};
        if (process->fence && !process->fence->can_issue_orders(now_))
            return;
        const result<order_actions> requested = process->book->request(
            targets_[random_below(targets_.size())].name,
            {order_action::set_role, roles[random_below(3)]}, now_);
        if (requested)
            perform_book(process, requested.value());
    }

    void perform_book(const process_pointer& process,
                      const order_actions& actions)
    {
        order_book* const book = process->book.get();
        const auto handle_event =
            [=](const std::function<order_actions()>& event)
        {
            if (process->book.get() == book)
                perform_book(process, event());
        };
        if (actions.scan)
        {
            const result<std::vector<table_row>> rows = table_.scan(
                actions.scan->prefix, actions.scan->after, actions.scan->limit);
            in_process(process, now_ + delay(100),
                       [=]() {
                           handle_event(
                               [=]()
                               { return book->scan_finished(rows, now_); });
                       });
        }
        for (const table_transaction& transaction : actions.commits)
        {
            commit(process, transaction,
                   [=](const result<commit_receipt>& response)
                   {
                       handle_event(
                           [=]() {
                               return book->commit_finished(
                                   transaction.write_id, response, now_);
                           });
                   });
        }
        for (const std::string& target : actions.drains)
        {
            in_process(process, now_ + delay(3000),
                       [=]() {
                           handle_event(
                               [=]() { return book->drained(target, now_); });
                       });
        }
        for (const send_order& order : actions.sends)
            send(process, order);
    }

    /** A commit may be delayed or lost on its way to the store, or its response
        may be lost. */
    void commit(const process_pointer& process,
                const table_transaction& transaction,
                const std::function<void(const result<commit_receipt>&)>& done)
    {
        const bool lost = chance(0.05);
        const bool response_lost = lost || chance(0.1);
        const bool late = chance(0.1);
        const time_point arrival = now_ + delay(late ? 40000 : 50);
        const std::error_code unknown =
            make_error_code(platform_error::outcome_unknown);
        if (!lost)
        {
            schedule(arrival,
                     [=]()
                     {
                         const commit_receipt receipt = apply(transaction);
                         if (!response_lost && !late)
                             in_process(process, now_ + delay(50),
                                        [=]() { done(receipt); });
                     });
        }
        if (response_lost || late)
        {
            in_process(process, now_ + milliseconds(1000),
                       [=]() { done(unknown); });
        }
    }

    commit_receipt apply(table_transaction transaction)
    {
        if (fault_ == injected_fault::store_ignores_conditions && chance(0.2))
            transaction.conditions.clear();
        return table_.commit(transaction);
    }

    /** Calls may_act(), then possibly pauses the process, and then sends the
        order. */
    void send(const process_pointer& process, const send_order& order)
    {
        order_book* const book = process->book.get();
        const auto respond = [=](order_response outcome, milliseconds after)
        {
            in_process(process, now_ + after,
                       [=]()
                       {
                           if (process->book.get() == book)
                               perform_book(process,
                                            book->response_received(
                                                order.target, order.order_id,
                                                outcome, now_));
                       });
        };
        if (!process->lease.may_act(now_))
            return respond(order_response::not_sent, milliseconds(0));
        if (chance(0.2))
            pause(process);
        in_process(process, now_ + milliseconds(1),
                   [=]()
                   {
                       const bool silent = chance(0.15);
                       const milliseconds transit_time =
                           delay(silent ? 9000 : 50);
                       schedule(now_ + transit_time,
                                [=]()
                                {
                                    const order_response outcome =
                                        receive(order);
                                    if (!silent)
                                        respond(outcome, delay(50));
                                });
                       if (silent)
                           respond(order_response::no_response, seconds(1));
                   });
    }

    // Target behavior and oracle.

    order_target& target_of(const std::string& name)
    {
        return *std::find_if(targets_.begin(), targets_.end(),
                             [&](const order_target& target)
                             { return target.name == name; });
    }

    order_response receive(const send_order& order)
    {
        order_target& target = target_of(order.target);
        if (check_ == order_check::fencing)
        {
            if (order.fencing_number < target.greatest_number)
                return order_response::old_fencing_number;
            if (fault_ != injected_fault::fence_confirmed_but_not_stored)
                target.greatest_number = order.fencing_number;
        }
        if (target.running == order.order_id)
        {
            if (now_ < target.running_until)
                return order_response::running;
            target.running.clear();
            return order_response::done;
        }
        if (includes(target.processed_orders, order.order_id))
            return order_response::done;
        if (now_ < target.running_until)
            return order_response::other_order_running;
        take_effect(target, order);
        return order_response::running;
    }

    void take_effect(order_target& target, const send_order& order)
    {
        target.running = order.order_id;
        target.running_until = now_ + seconds(3);
        target.processed_orders.push_back(order.order_id);
        if (chance(0.3))
        {
            // The target crashes and loses its record of orders.
            target.processed_orders.clear();
            target.running.clear();
            target.running_until = now_;
        }
        const bool repeats_earlier_order =
            includes(target.effects, order.order_id) &&
            target.effects.back() != order.order_id;
        if (repeats_earlier_order)
            violation_ = "an earlier order took effect after a later one";
        if (target.effects.empty() || target.effects.back() != order.order_id)
            target.effects.push_back(order.order_id);
        check_row(order);
    }

    /** An order may only take effect if it is the one in the target's row, and
        only one row may be unsettled. */
    void check_row(const send_order& order)
    {
        std::size_t unsettled_count = 0;
        for (const table_row& row : table_.scan("orders/s/", "", 10))
        {
            const order_record record = order_record::parse(row.value).value();
            unsettled_count += record.is_settled() ? 0U : 1U;
            if (record.target != order.target)
                continue;
            if (record.order_id != order.order_id ||
                record.state == order_state::intended ||
                record.state == order_state::abandoned)
                violation_ =
                    "an order took effect that is not the one in the row";
        }
        if (unsettled_count > 1)
            violation_ = "more engines are unavailable than allowed";
    }

    void check_all_settled()
    {
        for (const process_pointer& process : processes_)
        {
            if (process->lease.may_act(now_) && process->book &&
                !process->book_retired)
                return check_book(*process->book);
        }
        violation_ = "no process holds the lease long after the last fault";
    }

    void check_book(const order_book& book)
    {
        for (const unsettled_order& order : book.unsettled(now_))
        {
            if (order.reason == "overdue")
                violation_ = "an order is overdue long after the last fault";
        }
        for (const table_row& row : table_.scan("orders/s/", "", 10))
        {
            const order_record record = order_record::parse(row.value).value();
            const std::vector<unsettled_order> listed = book.unsettled(now_);
            const bool is_listed =
                std::any_of(listed.begin(), listed.end(),
                            [&](const unsettled_order& order)
                            { return order.record.target == record.target; });
            if (!record.is_settled() && !is_listed)
                violation_ = "an unsettled row is not listed";
        }
    }

    static bool includes(const std::vector<std::string>& list,
                         const std::string& text)
    {
        return std::find(list.begin(), list.end(), text) != list.end();
    }

    order_check check_;
    injected_fault fault_;
    std::mt19937_64 random_;
    identifier_source identifiers_;
    memory_table table_;
    std::vector<process_pointer> processes_;
    std::vector<process_identity> terminated_;
    std::vector<order_target> targets_;
    std::multimap<time_point, std::function<void()>> queue_;
    time_point now_;
    bool faulty_ = false;
    std::string violation_;
};

} // namespace hibiscusferry

#endif
