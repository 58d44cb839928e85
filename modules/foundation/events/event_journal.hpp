#ifndef HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_JOURNAL_HPP
#define HIBISCUSFERRY_FOUNDATION_EVENTS_EVENT_JOURNAL_HPP

#include "foundation/events/event_catalogue.hpp"
#include "foundation/events/log_writer.hpp"
#include "foundation/time/clock.hpp"
#include "foundation/time/hybrid_logical_clock.hpp"
#include <deque>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** One named value of an event, such as request or target. */
struct event_field
{
    std::string name;
    std::string value;
};

/** An event that happened in this process. */
struct event
{
    hybrid_timestamp time;
    event_number number;
    std::vector<event_field> fields;

    /** The value of a field, or an empty text. */
    std::string field(std::string_view name) const;

    /** "[1100] request_received request=… service=…". */
    std::string line() const;

    /** The event as one JSON object: time (hybrid timestamp), number, event,
        severity, then the fields as texts. */
    std::string json() const;
};

/** The events of one process: written to the log and kept, the newest ones,
    for the time line.

    Used from one thread. Fields that the time line filters by are named
    request, service, target, order, customer and host everywhere.
*/
class event_journal
{
public:
    /** @param source  where wall time comes from; must outlive the journal
        @param capacity  how many events are kept; older ones are dropped */
    event_journal(const clock& source, std::size_t capacity);

    event_journal(const event_journal&) = delete;
    event_journal& operator=(const event_journal&) = delete;

    /** Sends the events to a writer as JSON lines, and no longer to glog.
        The writer must outlive the journal. */
    void set_writer(log_writer& writer);

    /** Logs and keeps an event that happens now. */
    void record(event_number number, std::vector<event_field> fields = {});

    /** A timestamp to send with a message. */
    hybrid_timestamp timestamp();

    /** Takes the timestamp of a received message into account. */
    void observe(const hybrid_timestamp& remote);

    /** The kept events, oldest first. */
    const std::deque<event>& events() const;

    /** How many events were dropped to make room. */
    std::size_t dropped() const;

private:
    const clock& clock_;
    std::size_t capacity_;
    log_writer* writer_ = nullptr;
    hybrid_logical_clock logical_clock_;
    std::deque<event> events_;
    std::size_t dropped_ = 0;
};

} // namespace hibiscusferry

#endif
