#ifndef HIBISCUSFERRY_CLAIMS_TESTING_SIMULATED_ROUTER_HPP
#define HIBISCUSFERRY_CLAIMS_TESTING_SIMULATED_ROUTER_HPP

#include "claims/claims.hpp"
#include "claims/testing/event_queue.hpp"
#include "claims/testing/faulty_table.hpp"
#include "claims/testing/faulty_target.hpp"
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscusferry::testing
{

/** Faults injected into a router to verify that the checks detect them. */
enum class router_fault
{
    none,
    starts_before_claim, ///< starts calls before their claims are committed
    retries_interrupted_calls ///< treats a broken connection as "not run"
};

/** Environment shared by the simulated routers. */
struct simulated_platform
{
    event_queue& events;
    random_source& random;
    faulty_table& table;
    faulty_target& target;
    std::map<std::string, std::string> objects;
    bool is_faulty = true;
    router_fault injected_fault = router_fault::none;
    /** Passes an update to the batcher of a host and its outcome to the
        handler. */
    std::function<void(const forward_update&,
                       std::function<void(const update_outcome&)>)>
        forward;
    std::function<void(const call_response&)> send_response;
};

/** A router process that consists of the production decision classes and an
    adapter that executes their actions in virtual time. It can be paused and
    killed between any two events. */
class simulated_router : public std::enable_shared_from_this<simulated_router>
{
public:
    simulated_router(simulated_platform& platform, std::string process,
                     const std::string& host)
        : platform_(platform)
        , process_(std::move(process))
        , registry_(process_, claim_limits())
        , batcher_(batch_limits())
        , forwarder_(host, forward_limits{2, std::chrono::milliseconds(200)})
    {
    }

    const std::string& process() const
    {
        return process_;
    }

    void hosts_changed(const std::vector<std::string>& hosts)
    {
        forwarder_.hosts_changed(hosts);
    }

    void kill()
    {
        is_alive_ = false;
    }

    bool is_alive() const
    {
        return is_alive_;
    }

    void pause_until(time_point end)
    {
        paused_until_ = std::max(paused_until_, end);
    }

    /** Runs `handler` in the process after the end of any pause. Does nothing
        once the process has been killed. */
    void post(std::function<void()> handler)
    {
        if (!is_alive_)
            return;
        if (platform_.events.now() < paused_until_)
        {
            platform_.events.at(paused_until_, [self = shared_from_this(),
                                                handler = std::move(handler)]
                                { self->post(handler); });
            return;
        }
        handler();
        schedule_tick();
    }

    void arrive(const claim_call& call)
    {
        post([this, call] { perform(registry_.call_received(call, now())); });
    }

    void owner_terminated(const std::string& process)
    {
        post([this, process]
             { perform(registry_.owner_terminated(process, now())); });
    }

    void sweep()
    {
        post([this] { perform(registry_.begin_sweep(now())); });
    }

    /** Submits an update from another host to this host's batcher. */
    void batch_for(const row_update& update,
                   std::function<void(const update_outcome&)> handler)
    {
        post(
            [this, update, handler = std::move(handler)]
            {
                remote_updates_[update.id] = handler;
                perform(batcher_.submit(update, now()));
            });
    }

    /** @returns whether no call or update is in flight */
    bool is_idle() const
    {
        return registry_.calls_in_flight() == 0 &&
               batcher_.updates_in_flight() == 0 &&
               forwarder_.updates_in_flight() == 0;
    }

private:
    template <class Method>
    auto on_this(Method method)
    {
        return [self = shared_from_this(), method](const auto&... arguments)
        {
            self->post([self, method, arguments...]
                       { method(*self, arguments...); });
        };
    }

    time_point now() const
    {
        return platform_.events.now();
    }

    void perform(const std::vector<claim_action>& actions)
    {
        for (const claim_action& action : actions)
            std::visit([this](const auto& request) { act(request); }, action);
    }

    void perform(const std::vector<batch_action>& actions)
    {
        for (const batch_action& action : actions)
            std::visit([this](const auto& request) { act(request); }, action);
    }

    void perform(const std::vector<forward_action>& actions)
    {
        for (const forward_action& action : actions)
        {
            if (const update_outcome* outcome =
                    std::get_if<update_outcome>(&action))
                perform(registry_.update_completed(*outcome, now()));
            else
                std::visit([this](const auto& request) { act(request); },
                           action);
        }
    }

    void act(const call_response& answer)
    {
        platform_.send_response(answer);
    }

    void act(const start_call& start)
    {
        // The process may be killed between the decision and the send.
        platform_.events.after(platform_.random.between(0, 3),
                               [self = shared_from_this(), id = start.call_id]
                               { self->post([self, id] { self->send(id); }); });
    }

    void send(const std::string& call_id)
    {
        const auto position = started_.find(call_id);
        if (position == started_.end())
            return;
        const claim_record record = position->second;
        started_.erase(position);
        platform_.target.call(
            record.name.idempotency_key, call_id, record.body_digest,
            on_this(
                [call_id](simulated_router& self, target_outcome call_outcome,
                          const stored_response& answer)
                { self.handle_call_outcome(call_id, call_outcome, answer); }));
    }

    void handle_call_outcome(const std::string& call_id,
                             target_outcome call_outcome,
                             const stored_response& answer)
    {
        const bool may_retry =
            platform_.injected_fault == router_fault::retries_interrupted_calls;
        if (call_outcome == target_outcome::answered)
            perform(registry_.call_completed(call_id, answer, now()));
        else if (call_outcome == target_outcome::not_run || may_retry)
            perform(registry_.call_not_run(call_id, now()));
        else
            perform(registry_.call_interrupted(call_id, now()));
    }

    void act(const update_claim& request)
    {
        const row_update& update = request.update;
        const result<claim_record> record =
            claim_record::parse(row_stamp::parse(update.value).payload);
        if (record.value().state == claim_state::claimed)
            started_[record.value().claim_id] = record.value();
        perform(forwarder_.submit(update, now()));
        if (platform_.injected_fault == router_fault::starts_before_claim)
        {
            const update_outcome early{
                update.id, update_result::committed, 0, {}};
            perform(registry_.update_completed(early, now()));
        }
    }

    void act(const forward_update& forward)
    {
        platform_.forward(
            forward,
            on_this(
                [](simulated_router& self, const update_outcome& outcome) {
                    self.perform(
                        self.forwarder_.forwarded_update_completed(outcome));
                }));
    }

    void act(const submit_locally& local)
    {
        perform(batcher_.submit(local.update, now()));
    }

    void act(const update_outcome& outcome)
    {
        const auto remote = remote_updates_.find(outcome.id);
        if (remote == remote_updates_.end())
        {
            perform(forwarder_.local_update_completed(outcome));
            return;
        }
        const std::function<void(const update_outcome&)> handler =
            remote->second;
        remote_updates_.erase(remote);
        handler(outcome);
    }

    void act(const batch_step& request)
    {
        const std::uint64_t batch = request.batch;
        if (const commit_step* commit = std::get_if<commit_step>(&request.step))
        {
            platform_.table.commit(
                commit->transaction, faulty_table::response_timeout,
                on_this(
                    [batch](simulated_router& self,
                            const result<commit_receipt>& answer) {
                        self.perform(self.batcher_.commit_completed(
                            batch, answer, self.now()));
                    }));
            return;
        }
        platform_.table.read(std::get<read_step>(request.step).key,
                             faulty_table::response_timeout,
                             on_this(
                                 [batch](simulated_router& self,
                                         const result<table_row>& answer) {
                                     self.perform(self.batcher_.read_completed(
                                         batch, answer, self.now()));
                                 }));
    }

    void act(const read_claim& read)
    {
        platform_.table.read(
            read.row_key, faulty_table::response_timeout,
            on_this(
                [key = read.row_key](simulated_router& self,
                                     const result<table_row>& answer) {
                    self.perform(
                        self.registry_.row_read(key, answer, self.now()));
                }));
    }

    void act(const query_call_status& look_up)
    {
        platform_.target.status(
            look_up.name.idempotency_key,
            on_this(
                [key = look_up.row_key](simulated_router& self,
                                        call_status status,
                                        const stored_response& answer)
                {
                    self.perform(self.registry_.call_status_received(
                        key, status, answer, self.now()));
                }));
    }

    void act(const store_body& body)
    {
        const bool fails = platform_.is_faulty && platform_.random.chance(20);
        if (!fails)
            platform_.objects[body.object_name] = body.bytes;
        const result<void> answer =
            fails
                ? result<void>(make_error_code(platform_error::outcome_unknown))
                : result<void>(outcome::success());
        platform_.events.after(
            platform_.random.between(1, 50),
            [answer, handler = on_this(
                         [key = body.row_key](simulated_router& self,
                                              const result<void>& stored) {
                             self.perform(self.registry_.body_stored(
                                 key, stored, self.now()));
                         })] { handler(answer); });
    }

    void act(const scan_claims& scan)
    {
        platform_.table.scan(
            scan.prefix, scan.after, scan.limit, faulty_table::response_timeout,
            on_this(
                [prefix =
                     scan.prefix](simulated_router& self,
                                  const result<std::vector<table_row>>& rows) {
                    self.perform(
                        self.registry_.rows_scanned(prefix, rows, self.now()));
                }));
    }

    void act(const claim_event&)
    {
    }

    void schedule_tick()
    {
        const time_point wake =
            std::min({registry_.next_wake(), batcher_.next_wake(),
                      forwarder_.next_wake()});
        if (wake == time_point::max() || wake >= scheduled_)
            return;
        scheduled_ = wake;
        platform_.events.at(wake,
                            [self = shared_from_this(), wake] {
                                self->post([self, wake] { self->tick(wake); });
                            });
    }

    void tick(time_point scheduled)
    {
        if (scheduled_ == scheduled)
            scheduled_ = time_point::max();
        perform(forwarder_.tick(now()));
        perform(batcher_.tick(now()));
        perform(registry_.tick(now()));
    }

    simulated_platform& platform_;
    std::string process_;
    claim_registry registry_;
    claim_batcher batcher_;
    claim_forwarder forwarder_;
    bool is_alive_ = true;
    time_point paused_until_{};
    time_point scheduled_ = time_point::max();
    std::map<std::string, claim_record> started_;
    std::map<std::string, std::function<void(const update_outcome&)>>
        remote_updates_;
};

} // namespace hibiscusferry::testing

#endif
