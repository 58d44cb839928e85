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

/** Faults planted in the table to see that a check can fail. */
enum class table_fault
{
    none,
    skips_tombstones,  ///< tombstones are answered but not applied
    ignores_conditions ///< every transaction commits
};

/** A table service in virtual time that loses and delays transactions and
    answers, applies transactions late or twice, refuses, and is down for a
    while. */
class faulty_table final : public table_store
{
public:
    /** After this a caller is told that the outcome is unknown. */
    static constexpr std::chrono::milliseconds time_limit{300};
    /** Latest arrival of a transaction after its time limit. */
    static constexpr std::int64_t latest_arrival_ms = 4000;

    faulty_table(event_queue& events, random_source& random)
        : events_(events)
        , random_(random)
    {
    }

    /** Whether faults happen at all. */
    void set_faulty(bool is_faulty)
    {
        is_faulty_ = is_faulty;
    }

    void set_down_until(time_point end)
    {
        down_until_ = end;
    }

    void plant(table_fault plant)
    {
        plant_ = plant;
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
            time_limit + random_.between(0, latest_arrival_ms);
        if (kind < 5) // the answer is lost
            apply_after(arrival, transaction);
        else if (kind < 14) // arrives late; from 10 on, it arrives twice
            apply_after(late, transaction);
        if (kind < 10 || (kind >= 14 && kind < 18))
            fail_after(time_limit, platform_error::outcome_unknown, handler);
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
                time_limit, [handler = std::move(handler)]
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
            fail_after(time_limit, platform_error::outcome_unknown,
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
        if (plant_ == table_fault::skips_tombstones && is_tombstone)
            return {true, 1, {}};
        if (plant_ == table_fault::ignores_conditions)
            transaction.conditions.clear();
        return table_.commit(transaction);
    }

    event_queue& events_;
    random_source& random_;
    memory_table table_;
    bool is_faulty_ = true;
    time_point down_until_{};
    table_fault plant_ = table_fault::none;
    std::uint64_t commits_ = 0;
};

} // namespace hibiscusferry::testing

#endif
