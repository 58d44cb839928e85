#ifndef HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_WORLD_TEST_HPP
#define HIBISCUSFERRY_AUTHORITY_ORDERS_ORDER_WORLD_TEST_HPP

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

constexpr milliseconds step_time{50};
constexpr seconds host_list_lag{10};

/** Faults planted in the fakes, that the oracle must find. */
enum class planted_fault
{
    none,
    fence_confirmed_but_not_kept, ///< targets confirm a number and forget it
    paused_host_called_gone,      ///< the list drops hosts that only pause
    store_ignores_conditions      ///< a late write takes effect regardless
};

/** One run of a controller: its lease and its orders. */
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

/** A target, with the oracle's record of what took effect there. */
struct order_target
{
    std::string name;
    std::uint64_t greatest_number = 0;
    std::string running;
    time_point running_until;
    std::vector<std::string> known_orders;
    std::vector<std::string> effects;
};

/** Three hosts, a table and targets, with faults drawn from a seed. */
class order_world
{
public:
    order_world(order_check check, planted_fault fault, std::uint64_t seed)
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

    /** Runs with faults and then without; the rule broken, or empty. */
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

    std::size_t pick(std::size_t count)
    {
        return random_() % count;
    }

    milliseconds delay(int longest)
    {
        return milliseconds(1 + pick(static_cast<std::size_t>(longest)));
    }

    void start_process(const std::string& host)
    {
        processes_.push_back(std::make_shared<controller_process>(
            host, identifiers_.next(), identifiers_));
    }

    void at(time_point when, std::function<void()> action)
    {
        queue_.emplace(when, std::move(action));
    }

    /** Runs an action in a process: later while it is paused, never once
        it is killed. */
    void in_process(const process_pointer& process, time_point when,
                    std::function<void()> action)
    {
        at(when,
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
            now_ += step_time;
            while (!queue_.empty() && queue_.begin()->first <= now_)
            {
                const std::function<void()> action = queue_.begin()->second;
                queue_.erase(queue_.begin());
                action();
            }
            const std::vector<process_pointer> processes = processes_;
            for (const process_pointer& process : processes)
                step_process(process);
            check_one_acts();
        }
    }

    void check_one_acts()
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
            raise(process);
        if (!process->book)
            return;
        if (process->book->is_superseded())
            retire(process);
        perform_book(process, process->book->tick(now_));
        if (process->book_retired && process->book->is_retired())
            process->book.reset();
        else if (!process->book_retired && pick(40) == 0)
            order_something(process);
    }

    void pause(const process_pointer& process)
    {
        process->paused_until = now_ + milliseconds(pick(60000));
        if (fault_ != planted_fault::paused_host_called_gone)
            return;
        const process_identity paused = process->self;
        at(now_ + milliseconds(100), [this, paused]() { tell_ended(paused); });
        ended_.push_back(paused);
    }

    void kill(const process_pointer& process)
    {
        process->killed = true;
        const process_identity ended = process->self;
        at(now_ + host_list_lag, [this, ended]() { tell_ended(ended); });
        start_process(ended.host);
        for (auto known = processes_.begin(); known != processes_.end();)
            known = (*known)->killed ? processes_.erase(known) : known + 1;
        ended_.push_back(ended);
    }

    void tell_ended(const process_identity& ended)
    {
        for (const process_pointer& process : processes_)
        {
            if (process->book)
                process->book->sender_terminated(ended);
        }
    }

    // What a controller does.

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
                   [=](const result<commit_receipt>& answer)
                   {
                       perform_lease(process, process->lease.commit_finished(
                                                  actions.commit->write_id,
                                                  answer, now_));
                   });
        }
        if (actions.change == lease_change::lost ||
            actions.change == lease_change::released)
            retire(process);
        const bool fresh = !process->book && process->lease.is_holder();
        if (fresh)
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
        for (const process_identity& ended : ended_)
            process->book->sender_terminated(ended);
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

    void raise(const process_pointer& process)
    {
        for (const raise_fence& request : process->fence->tick(now_))
        {
            order_target& target = target_of(request.target);
            const bool lost = chance(0.2);
            if (!lost && fault_ != planted_fault::fence_confirmed_but_not_kept)
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

    void order_something(const process_pointer& process)
    {
        static const char* const roles[] = {"prefill", "decode", "mixed"};
        if (process->fence && !process->fence->can_issue_orders(now_))
            return;
        const result<order_actions> asked = process->book->request(
            targets_[pick(targets_.size())].name,
            {order_action::set_role, roles[pick(3)]}, now_);
        if (asked)
            perform_book(process, asked.value());
    }

    void perform_book(const process_pointer& process,
                      const order_actions& actions)
    {
        order_book* const book = process->book.get();
        const auto answered = [=](const std::function<order_actions()>& event)
        {
            if (process->book.get() == book)
                perform_book(process, event());
        };
        if (actions.scan)
        {
            const result<std::vector<table_row>> rows = table_.scan(
                actions.scan->prefix, actions.scan->after, actions.scan->limit);
            in_process(
                process, now_ + delay(100),
                [=]() {
                    answered([=]() { return book->scan_finished(rows, now_); });
                });
        }
        for (const table_transaction& transaction : actions.commits)
        {
            commit(process, transaction,
                   [=](const result<commit_receipt>& answer)
                   {
                       answered(
                           [=]() {
                               return book->commit_finished(
                                   transaction.write_id, answer, now_);
                           });
                   });
        }
        for (const std::string& target : actions.drains)
        {
            in_process(
                process, now_ + delay(3000),
                [=]()
                { answered([=]() { return book->drained(target, now_); }); });
        }
        for (const send_order& order : actions.sends)
            send(process, order);
    }

    /** A commit reaches the store late or never, or its answer is lost. */
    void commit(const process_pointer& process,
                const table_transaction& transaction,
                const std::function<void(const result<commit_receipt>&)>& done)
    {
        const bool lost = chance(0.05);
        const bool answer_lost = lost || chance(0.1);
        const bool late = chance(0.1);
        const time_point arrival = now_ + delay(late ? 40000 : 50);
        const std::error_code unknown =
            make_error_code(platform_error::outcome_unknown);
        if (!lost)
        {
            at(arrival,
               [=]()
               {
                   const commit_receipt receipt = apply(transaction);
                   if (!answer_lost && !late)
                       in_process(process, now_ + delay(50),
                                  [=]() { done(receipt); });
               });
        }
        if (answer_lost || late)
        {
            in_process(process, now_ + milliseconds(1000),
                       [=]() { done(unknown); });
        }
    }

    commit_receipt apply(table_transaction transaction)
    {
        if (fault_ == planted_fault::store_ignores_conditions && chance(0.2))
            transaction.conditions.clear();
        return table_.commit(transaction);
    }

    /** The check, then any pause of the process, then the sending. */
    void send(const process_pointer& process, const send_order& order)
    {
        order_book* const book = process->book.get();
        const auto answer = [=](order_response outcome, milliseconds after)
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
            return answer(order_response::not_sent, milliseconds(0));
        if (chance(0.2))
            pause(process);
        in_process(process, now_ + milliseconds(1),
                   [=]()
                   {
                       const bool silent = chance(0.15);
                       const milliseconds way = delay(silent ? 9000 : 50);
                       at(now_ + way,
                          [=]()
                          {
                              const order_response outcome = receive(order);
                              if (!silent)
                                  answer(outcome, delay(50));
                          });
                       if (silent)
                           answer(order_response::no_response, seconds(1));
                   });
    }

    // What a target does, and the oracle.

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
            if (fault_ != planted_fault::fence_confirmed_but_not_kept)
                target.greatest_number = order.fencing_number;
        }
        if (target.running == order.order_id)
        {
            if (now_ < target.running_until)
                return order_response::running;
            target.running.clear();
            return order_response::done;
        }
        if (includes(target.known_orders, order.order_id))
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
        target.known_orders.push_back(order.order_id);
        if (chance(0.3))
        {
            // The target crashes and forgets what it was told.
            target.known_orders.clear();
            target.running.clear();
            target.running_until = now_;
        }
        const bool again = includes(target.effects, order.order_id) &&
                           target.effects.back() != order.order_id;
        if (again)
            violation_ = "an earlier order took effect after another one";
        if (target.effects.empty() || target.effects.back() != order.order_id)
            target.effects.push_back(order.order_id);
        check_row(order);
    }

    /** What takes effect is the target's row, and few rows are open. */
    void check_row(const send_order& order)
    {
        std::size_t open = 0;
        for (const table_row& row : table_.scan("orders/s/", "", 10))
        {
            const order_record record = order_record::parse(row.value).value();
            open += record.is_settled() ? 0U : 1U;
            if (record.target != order.target)
                continue;
            if (record.order_id != order.order_id ||
                record.state == order_state::intended ||
                record.state == order_state::abandoned)
                violation_ = "an order took effect that is not the row";
        }
        if (open > 1)
            violation_ = "more engines are away than allowed";
    }

    void check_all_settled()
    {
        for (const process_pointer& process : processes_)
        {
            if (process->lease.may_act(now_) && process->book &&
                !process->book_retired)
                return check_book(*process->book);
        }
        violation_ = "nobody holds the lease long after the faults";
    }

    void check_book(const order_book& book)
    {
        for (const unsettled_order& order : book.unsettled(now_))
        {
            if (order.reason == "overdue")
                violation_ = "an order is overdue long after the faults";
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
                violation_ = "an open row is not listed";
        }
    }

    static bool includes(const std::vector<std::string>& list,
                         const std::string& text)
    {
        return std::find(list.begin(), list.end(), text) != list.end();
    }

    order_check check_;
    planted_fault fault_;
    std::mt19937_64 random_;
    identifier_source identifiers_;
    memory_table table_;
    std::vector<process_pointer> processes_;
    std::vector<process_identity> ended_;
    std::vector<order_target> targets_;
    std::multimap<time_point, std::function<void()>> queue_;
    time_point now_;
    bool faulty_ = false;
    std::string violation_;
};

} // namespace hibiscusferry

#endif
