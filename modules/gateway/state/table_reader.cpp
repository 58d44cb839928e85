#include "gateway/state/table_reader.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** How long a response may take to begin, in addition to the wait, and how long
    it may stop. Longer than the delay of the next read, as a slow store answers
    all of them late. */
constexpr std::chrono::milliseconds response_timeout{1500};
/** How long a response may take that goes on arriving. */
constexpr std::chrono::milliseconds transfer_timeout{30000};
/** Interval between checks whether bytes that have arrived have been read. */
constexpr std::chrono::milliseconds unread_check_interval{10};
/** The maximum number of reads whose responses are awaited at the same time. */
constexpr unsigned max_reads = 4;
/** From this number of unanswered reads on, further ones are sent half as
    often. */
constexpr unsigned frequent_reads = 2;

} // namespace

table_reader::awaited_reads::awaited_reads(boost::asio::io_context& context)
    : timer(context)
{
}

bool table_reader::awaited_reads::is_complete() const
{
    return outcome && (outcome->has_value() || pending == 0);
}

bool table_reader::awaited_reads::is_moving(
    time_point now, std::chrono::milliseconds max_silence) const
{
    return std::any_of(
        progress.begin(), progress.end(),
        [now, max_silence](const std::shared_ptr<transfer_progress>& read)
        { return read->is_moving(now, max_silence); });
}

std::size_t table_reader::awaited_reads::received_bytes() const
{
    std::size_t bytes = 0;
    for (const std::shared_ptr<transfer_progress>& read : progress)
        bytes += read->received_bytes;
    return bytes;
}

table_reader::table_reader(process_core& core, table_feed& feed,
                           silence_handler on_silence)
    : core_(core)
    , feed_(feed)
    , on_silence_(std::move(on_silence))
{
}

result<table_reading>
table_reader::read(const table_query& query,
                   std::chrono::milliseconds response_delay,
                   boost::asio::yield_context yield)
{
    const std::shared_ptr<awaited_reads> reads =
        std::make_shared<awaited_reads>(core_.context());
    reads_[query.table] = reads;
    table_query next_query = query;
    for (unsigned sent = 1;; ++sent)
    {
        const time_point sent_at = core_.now();
        start(reads, next_query);
        if (sent < max_reads)
            reads->timer.expires_after(
                next_query.wait +
                (sent <= frequent_reads ? response_delay : 2 * response_delay));
        else
            reads->timer.expires_at(
                boost::asio::steady_timer::time_point::max());
        wait_for_silence(*reads, response_delay, yield);
        if (reads->is_complete())
            return *reads->outcome;
        const boost::asio::steady_timer::duration loop_delay =
            boost::asio::steady_timer::clock_type::now() -
            reads->timer.expiry();
        on_silence_(
            {query.table,
             std::chrono::duration_cast<std::chrono::milliseconds>(core_.now() -
                                                                   sent_at),
             reads->received_bytes(),
             std::chrono::duration_cast<std::chrono::milliseconds>(loop_delay),
             sent});
        feed_.forget_connections();
        next_query.wait = std::chrono::milliseconds(0);
    }
}

void table_reader::wait_for_silence(awaited_reads& reads,
                                    std::chrono::milliseconds response_delay,
                                    boost::asio::yield_context yield)
{
    boost::system::error_code ignored;
    reads.timer.async_wait(yield[ignored]);
    // A response that arrives slowly would become slower beside another one.
    while (!reads.is_complete() && reads.is_moving(core_.now(), response_delay))
    {
        reads.timer.expires_after(unread_check_interval);
        reads.timer.async_wait(yield[ignored]);
    }
}

bool table_reader::is_receiving(const std::string& table,
                                std::chrono::milliseconds max_silence) const
{
    const auto reads = reads_.find(table);
    if (reads == reads_.end())
        return false;
    const std::shared_ptr<awaited_reads> awaited = reads->second.lock();
    return awaited && !awaited->is_complete() &&
           awaited->is_moving(core_.now(), max_silence);
}

void table_reader::start(const std::shared_ptr<awaited_reads>& reads,
                         const table_query& query)
{
    ++reads->pending;
    table_read_limits limits(response_timeout);
    limits.total_timeout = transfer_timeout;
    limits.progress = std::make_shared<transfer_progress>();
    reads->progress.push_back(limits.progress);
    start_task(core_.context(),
               [this, reads, query, limits](boost::asio::yield_context yield)
               {
                   result<table_reading> outcome =
                       read_once(query, limits, yield);
                   --reads->pending;
                   if (!reads->outcome || !reads->outcome->has_value())
                       reads->outcome = std::move(outcome);
                   if (reads->is_complete())
                       reads->timer.cancel();
               });
}

result<table_reading> table_reader::read_once(table_query query,
                                              const table_read_limits& limits,
                                              boost::asio::yield_context yield)
{
    table_reading reading;
    reading.asked_at = core_.now();
    reading.wait = query.wait;
    if (query.after)
    {
        result<table_changes> changes =
            feed_.changes(query.table, *query.after, query.wait, limits, yield);
        if (changes)
        {
            reading.changes = std::move(changes.value());
            reading.transfer_duration = limits.progress->duration(core_.now());
            return reading;
        }
        if (changes.error() != platform_error::history_expired)
            return changes.error();
    }
    reading.is_snapshot = true;
    reading.asked_at = core_.now();
    result<table_changes> rows = feed_.snapshot(query.table, limits, yield);
    if (!rows)
        return rows.error();
    reading.changes = std::move(rows.value());
    reading.transfer_duration = limits.progress->duration(core_.now());
    return reading;
}

} // namespace hibiscusferry
