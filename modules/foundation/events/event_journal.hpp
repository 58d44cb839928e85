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

/** A named value of an event, such as the request or the target. */
struct event_field
{
    std::string name;
    std::string value;
};

/** An event that occurred in this process. */
struct event
{
    hybrid_timestamp time;
    event_number number;
    std::vector<event_field> fields;

    /** Returns the value of a field, or an empty string. */
    std::string field(std::string_view name) const;

    /** Returns the event as a log line, such as
        "[1100] request_received request=… service=…". */
    std::string line() const;

    /** Returns the event as a JSON object: time (a hybrid timestamp), number,
        event and severity, followed by the fields as strings. */
    std::string json() const;
};

/** The event journal of a process.

    Writes each event to the log and keeps the most recent events for the
    timeline. The fields by which the timeline filters have the same names in
    all events: request, service, target, order, customer and host. Not
    thread-safe.
*/
class event_journal
{
public:
    /** @param source    the clock that provides the wall-clock time; must
                         outlive the journal
        @param capacity  the maximum number of events kept; older events are
                         dropped
    */
    event_journal(const clock& source, std::size_t capacity);

    event_journal(const event_journal&) = delete;
    event_journal& operator=(const event_journal&) = delete;

    /** Writes events to `writer` as JSON lines from now on, instead of to
        glog. The writer must outlive the journal. */
    void set_writer(log_writer& writer);

    /** Logs and stores an event with the current time. */
    void record(event_number number, std::vector<event_field> fields = {});

    /** Returns a new timestamp, for an outgoing message. */
    hybrid_timestamp timestamp();

    /** Advances the logical clock to the timestamp of a received message. */
    void observe(const hybrid_timestamp& remote);

    /** Returns the stored events, oldest first. */
    const std::deque<event>& events() const;

    /** Returns the number of events dropped because the journal was full. */
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
