#ifndef HIBISCUSFERRY_CLAIMS_TESTING_FAULTY_TABLE_HPP
#define HIBISCUSFERRY_CLAIMS_TESTING_FAULTY_TABLE_HPP

#include "claims/testing/event_queue.hpp"
#include "storage/storage.hpp"
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusferry::testing
{

/** Faults injected into the table to verify that the checks detect them. */
enum class table_fault
{
    none,
    skips_tombstones,  ///< tombstones are acknowledged but not applied
    ignores_conditions ///< every transaction commits
};

/** A table service in virtual time that loses and delays transactions and
    responses, applies transactions late or twice, refuses transactions, and is
    temporarily unavailable. */
class faulty_table final : public table_store
{
public:
    /** Time after which an operation without a response is reported as
        outcome_unknown. */
    static constexpr std::chrono::milliseconds response_timeout{300};
    /** Maximum delay of a transaction's arrival after its response timeout. */
    static constexpr std::int64_t max_late_arrival_ms = 4000;

    faulty_table(event_queue& events, random_source& random)
        : events_(events)
        , random_(random)
    {
    }

    /** Enables or disables random faults. */
    void set_faulty(bool is_faulty)
    {
        is_faulty_ = is_faulty;
    }

    void set_down_until(time_point end)
    {
        down_until_ = end;
    }

    void inject_fault(table_fault injected_fault)
    {
        injected_fault_ = injected_fault;
    }

    const memory_table& rows() const
    {
        return table_;
    }

    std::uint64_t commits() const
    {
        return commits_;
    }

    void commit(const table_transaction& transaction, std::chrono::milliseconds,
                commit_handler handler) override
    {
        ++commits_;
        if (events_.now() < down_until_)
        {
            fail_while_down(std::move(handler));
            return;
        }
        const std::uint64_t kind = is_faulty_ ? random_.below(100) : 100;
        const std::chrono::milliseconds arrival = random_.between(1, 20);
        const std::chrono::milliseconds late =
            response_timeout + random_.between(0, max_late_arrival_ms);
        if (kind < 5) // the response is lost
            apply_after(arrival, transaction);
        else if (kind < 14) // arrives late; from 10 on, arrives twice
            apply_after(late, transaction);
        if (kind < 10 || (kind >= 14 && kind < 18))
            fail_after(response_timeout, platform_error::outcome_unknown,
                       handler);
        else if (kind < 21 && kind >= 18)
            fail_after(arrival, platform_error::refused, handler);
        else
            answer_after(arrival, transaction, std::move(handler));
    }

    void read(const std::string& key, std::chrono::milliseconds,
              read_handler handler) override
    {
        if (events_.now() < down_until_ || (is_faulty_ && random_.chance(8)))
        {
            events_.after(
                response_timeout, [handler = std::move(handler)]
                { handler(make_error_code(platform_error::outcome_unknown)); });
            return;
        }
        events_.after(random_.between(1, 20),
                      [this, key, handler = std::move(handler)]
                      {
                          const result<table_row> row = table_.read(key);
                          events_.after(random_.between(1, 20),
                                        [row, handler] { handler(row); });
                      });
    }

    void scan(const std::string& prefix, const std::string& after,
              std::size_t limit, std::chrono::milliseconds,
              scan_handler handler) override
    {
        events_.after(random_.between(1, 20),
                      [this, prefix, after, limit, handler = std::move(handler)]
                      { handler(table_.scan(prefix, after, limit)); });
    }

private:
    void fail_while_down(commit_handler handler)
    {
        if (random_.chance(50))
            fail_after(std::chrono::milliseconds(5), platform_error::not_sent,
                       std::move(handler));
        else
            fail_after(response_timeout, platform_error::outcome_unknown,
                       std::move(handler));
    }

    void fail_after(std::chrono::milliseconds delay, platform_error error,
                    commit_handler handler)
    {
        events_.after(delay, [error, handler = std::move(handler)]
                      { handler(make_error_code(error)); });
    }

    void apply_after(std::chrono::milliseconds delay,
                     const table_transaction& transaction)
    {
        events_.after(delay, [this, transaction] { apply(transaction); });
    }

    void answer_after(std::chrono::milliseconds delay,
                      const table_transaction& transaction,
                      commit_handler handler)
    {
        events_.after(delay,
                      [this, transaction, handler = std::move(handler)]
                      {
                          const commit_receipt receipt = apply(transaction);
                          events_.after(random_.between(1, 20),
                                        [receipt, handler]
                                        { handler(receipt); });
                      });
    }

    commit_receipt apply(table_transaction transaction)
    {
        const bool is_tombstone =
            transaction.write_id.compare(0, 10, "tombstone:") == 0;
        if (injected_fault_ == table_fault::skips_tombstones && is_tombstone)
            return {true, 1, {}};
        if (injected_fault_ == table_fault::ignores_conditions)
            transaction.conditions.clear();
        return table_.commit(transaction);
    }

    event_queue& events_;
    random_source& random_;
    memory_table table_;
    bool is_faulty_ = true;
    time_point down_until_{};
    table_fault injected_fault_ = table_fault::none;
    std::uint64_t commits_ = 0;
};

} // namespace hibiscusferry::testing

#endif
