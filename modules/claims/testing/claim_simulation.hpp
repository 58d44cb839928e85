#ifndef HIBISCUSFERRY_CLAIMS_TESTING_CLAIM_SIMULATION_HPP
#define HIBISCUSFERRY_CLAIMS_TESTING_CLAIM_SIMULATION_HPP

#include "claims/testing/simulated_router.hpp"
#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry::testing
{

/** Statistics and invariant violations of one seeded run. */
struct claim_report
{
    std::size_t calls = 0;
    std::size_t target_runs = 0;
    std::size_t max_runs_per_key = 0;
    std::size_t kills = 0;
    std::uint64_t commits = 0;
    /** Number of responses with each claim_verdict. */
    std::array<std::size_t, 6> verdicts{};
    /** One line for each violated invariant. */
    std::vector<std::string> breaches;
};

/** Simulates several routers that share one faulty table and one faulty
    target. Callers use the same few keys on all routers, and the responses
    that they receive are checked. */
class claim_simulation
{
public:
    explicit claim_simulation(
        std::uint64_t seed, router_fault injected_fault = router_fault::none,
        table_fault injected_table_fault = table_fault::none)
        : random_(seed)
        , table_(events_, random_)
        , target_(events_, random_)
    {
        platform_.injected_fault = injected_fault;
        table_.inject_fault(injected_table_fault);
        platform_.forward = [this](const forward_update& forward,
                                   const outcome_handler& handler)
        {
            deliver(forward, handler);
        };
        platform_.send_response = [this](const call_response& answer)
        {
            responses_[answer.call_id].push_back({events_.now(), answer});
        };
        for (std::size_t host = 0; host < host_count; ++host)
            start_router(host);
    }

    claim_report run()
    {
        const time_point begin = events_.now();
        schedule_calls();
        schedule_faults();
        events_.run_until(begin + workload_duration);
        stop_faults();
        events_.run_until(begin + workload_duration + settling_duration);
        for (int sweep = 0; sweep < sweeps; ++sweep)
        {
            routers_.front()->sweep();
            events_.run_until(events_.now() + settling_duration);
        }
        check();
        return report_;
    }

private:
    using outcome_handler = std::function<void(const update_outcome&)>;

    struct timed_response
    {
        time_point moment;
        call_response answer;
    };
    struct planned_call
    {
        claim_call call;
        time_point arrival;
        std::shared_ptr<simulated_router> router;
    };

    static constexpr std::size_t host_count = 3;
    static constexpr std::size_t key_count = 3;
    static constexpr std::chrono::seconds workload_duration{30};
    static constexpr std::chrono::seconds settling_duration{60};
    static constexpr int sweeps = 2;

    static std::string host_name(std::size_t host)
    {
        return "host-" + std::to_string(host);
    }

    void start_router(std::size_t host)
    {
        const std::shared_ptr<simulated_router> router =
            std::make_shared<simulated_router>(
                platform_, "process-" + std::to_string(++last_process_),
                host_name(host));
        std::vector<std::string> names;
        for (std::size_t index = 0; index < host_count; ++index)
            names.push_back(host_name(index));
        router->hosts_changed(names);
        if (host < routers_.size())
            routers_[host] = router;
        else
            routers_.push_back(router);
    }

    /** Delivers a peer message. It may be delayed or lost but is not
        duplicated. */
    void deliver(const forward_update& forward, const outcome_handler& handler)
    {
        if (platform_.is_faulty && random_.chance(10))
            return;
        const bool is_slow = platform_.is_faulty && random_.chance(10);
        const std::chrono::milliseconds delay =
            is_slow ? random_.between(200, 6000) : random_.between(1, 5);
        const std::chrono::nanoseconds time_left =
            forward.update.abandon_at - events_.now();
        const bool has_limit = forward.update.abandon_at != time_point::max();
        events_.after(delay,
                      [this, forward, handler, time_left, has_limit]
                      {
                          row_update update = forward.update;
                          if (has_limit)
                              update.abandon_at = events_.now() + time_left;
                          for (std::size_t host = 0; host < host_count; ++host)
                          {
                              if (host_name(host) == forward.host)
                                  routers_[host]->batch_for(
                                      update, delivering(handler));
                          }
                      });
    }

    outcome_handler delivering(const outcome_handler& handler)
    {
        return [this, handler](const update_outcome& outcome)
        {
            if (platform_.is_faulty && random_.chance(10))
                return;
            events_.after(random_.between(1, 5),
                          [handler, outcome] { handler(outcome); });
        };
    }

    void schedule_calls()
    {
        const std::size_t count = 6 + random_.below(10);
        for (std::size_t index = 0; index < count; ++index)
        {
            claim_call call;
            call.call_id = "call-" + std::to_string(index);
            const std::size_t key = random_.below(key_count);
            call.name = {"order-desk", "school/one",
                         "key " + std::to_string(key)};
            call.body_digest = random_.chance(10) ? "other" : "body";
            call.has_status_path = key == 0;
            // Some calls arrive simultaneously, others much later.
            const std::chrono::milliseconds start =
                random_.chance(40) ? std::chrono::milliseconds(500)
                                   : random_.between(0, 25000);
            events_.after(start, [this, call] { arrive(call); });
        }
    }

    void arrive(claim_call call)
    {
        call.deadline = events_.now() + random_.between(500, 8000);
        const std::shared_ptr<simulated_router> router =
            routers_[random_.below(host_count)];
        calls_.push_back({call, events_.now(), router});
        router->arrive(call);
    }

    void schedule_faults()
    {
        const std::size_t pauses = random_.below(5);
        for (std::size_t index = 0; index < pauses; ++index)
        {
            events_.after(random_.between(0, 20000),
                          [this]
                          {
                              routers_[random_.below(host_count)]->pause_until(
                                  events_.now() + random_.between(50, 12000));
                          });
        }
        const std::size_t kills = random_.below(4);
        for (std::size_t index = 0; index < kills; ++index)
            events_.after(random_.between(0, 20000), [this] { kill_one(); });
        if (random_.chance(30))
        {
            events_.after(random_.between(0, 15000),
                          [this] {
                              table_.set_down_until(events_.now() +
                                                    random_.between(500, 8000));
                          });
        }
    }

    void kill_one()
    {
        const std::size_t host = random_.below(host_count);
        const std::string process = routers_[host]->process();
        routers_[host]->kill();
        ++report_.kills;
        start_router(host);
        events_.after(random_.between(500, 6000),
                      [this, process]
                      {
                          for (const std::shared_ptr<simulated_router>& router :
                               routers_)
                              router->owner_terminated(process);
                      });
    }

    void stop_faults()
    {
        platform_.is_faulty = false;
        table_.set_faulty(false);
        target_.set_faulty(false);
    }

    // ====================================================================
    // Invariants
    // ====================================================================

    void breach(const std::string& violation, const std::string& subject)
    {
        report_.breaches.push_back(violation + ": " + subject);
    }

    void check()
    {
        report_.calls = calls_.size();
        report_.commits = table_.commits();
        for (std::size_t key = 0; key < key_count; ++key)
            check_key(claim_name{"order-desk", "school/one",
                                 "key " + std::to_string(key)});
        for (const planned_call& planned : calls_)
            check_call(planned);
        if (!table_.rows().scan(open_claim_prefix, "", 1).empty())
            breach("a claim has no outcome", open_claim_prefix);
    }

    std::optional<claim_record> record_of(const claim_name& name) const
    {
        const result<table_row> row = table_.rows().read(name.row_key());
        if (!row)
            return std::nullopt;
        const result<claim_record> record =
            claim_record::parse(row_stamp::parse(row.value().value).payload);
        return record ? std::optional<claim_record>(record.value())
                      : std::nullopt;
    }

    void check_key(const claim_name& name)
    {
        const std::string& key = name.idempotency_key;
        const std::size_t runs = target_.runs(key).size();
        const std::optional<claim_record> record = record_of(name);
        const bool is_settled = record && record->state == claim_state::settled;
        const bool is_unknown = record && record->state == claim_state::unknown;
        report_.target_runs += runs;
        report_.max_runs_per_key = std::max(report_.max_runs_per_key, runs);
        if (runs > 1)
            breach("a key ran twice", key);
        if (runs > 0 && !is_settled && !is_unknown)
            breach("a run is not recorded", key);
        if (runs == 0 && is_settled)
            breach("a response is recorded without a run", key);
        if (record && record->state == claim_state::claimed)
            breach("a claim was never settled", key);
        if (is_unknown && record->has_status_path)
            breach(
                "the outcome is unknown although the target reports the status",
                key);
        claim_record listed_claim;
        listed_claim.name = name;
        const bool is_listed =
            table_.rows().read(listed_claim.unresolved_key()).has_value();
        if (is_listed != is_unknown)
            breach("the list for operators disagrees with the record", key);
    }

    void check_call(const planned_call& planned)
    {
        const std::vector<timed_response>& answers =
            responses_[planned.call.call_id];
        if (answers.size() > 1)
            breach("a caller received two responses", planned.call.call_id);
        if (answers.empty())
        {
            if (planned.router->is_alive())
                breach("a caller received no response", planned.call.call_id);
            return;
        }
        const call_response& response = answers.front().answer;
        ++report_.verdicts[static_cast<std::size_t>(response.verdict)];
        if (!is_consistent(planned, response))
        {
            breach("a caller received a wrong response: verdict " +
                       std::to_string(static_cast<int>(response.verdict)),
                   planned.call.call_id);
        }
    }

    bool is_consistent(const planned_call& planned,
                       const call_response& response) const
    {
        const claim_call& call = planned.call;
        const std::vector<std::string> runs =
            target_.runs(call.name.idempotency_key);
        const bool ran = std::count(runs.begin(), runs.end(), call.call_id) > 0;
        const std::optional<claim_record> record = record_of(call.name);
        // A router that was killed may leave its claim in the table.
        const bool left_in_doubt = planned.router->is_alive() && record &&
                                   record->claim_id == call.call_id &&
                                   record->state == claim_state::unknown;
        switch (response.verdict)
        {
        case claim_verdict::answered:
            return body_of(response.answer) ==
                   faulty_target::answer_text(call.name.idempotency_key,
                                              call.body_digest);
        case claim_verdict::not_run:
            return !ran && !left_in_doubt;
        case claim_verdict::barred:
            return runs.empty();
        case claim_verdict::key_reused:
            return !ran && has_competing_call(call, true);
        case claim_verdict::in_progress:
            return !ran && has_competing_call(call, false);
        case claim_verdict::unknown:
            return true; // check_key() requires it to be settled or listed
        }
        return false;
    }

    std::string body_of(const stored_response& answer) const
    {
        if (answer.body_object.empty())
            return answer.body;
        const auto position = platform_.objects.find(answer.body_object);
        return position == platform_.objects.end() ? "" : position->second;
    }

    bool has_competing_call(const claim_call& call, bool with_other_body) const
    {
        return std::any_of(calls_.begin(), calls_.end(),
                           [&call, with_other_body](const planned_call& other)
                           {
                               return other.call.call_id != call.call_id &&
                                      other.call.name.idempotency_key ==
                                          call.name.idempotency_key &&
                                      (other.call.body_digest !=
                                       call.body_digest) == with_other_body;
                           });
    }

    event_queue events_;
    random_source random_;
    faulty_table table_;
    faulty_target target_;
    simulated_platform platform_{
        events_, random_, table_, target_, {}, true, router_fault::none,
        {},      {}};
    std::vector<std::shared_ptr<simulated_router>> routers_;
    std::vector<planned_call> calls_;
    std::map<std::string, std::vector<timed_response>> responses_;
    std::size_t last_process_ = 0;
    claim_report report_;
};

} // namespace hibiscusferry::testing

#endif
