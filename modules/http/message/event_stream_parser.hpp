#ifndef HIBISCUSFERRY_HTTP_MESSAGE_EVENT_STREAM_PARSER_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_EVENT_STREAM_PARSER_HPP

#include "foundation/foundation.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** A server-sent event. */
struct server_sent_event
{
    std::string id;
    /** The values of the data lines, joined by line feeds. */
    std::string data;
    /** The bytes of the event as received, including the terminating empty
        line, and any comments and empty lines before the event. */
    std::string raw;
};

/** Splits a byte stream into server-sent events, as defined by the section
    "Server-sent events" of the WHATWG HTML standard.

    Lines may end in LF or CRLF. Comments and empty lines are no event; they are
    returned with the event that follows them. The buffer is bounded: an event
    larger than max_event_bytes, including what precedes it, is an error, after
    which the stream cannot be parsed any further.
*/
class event_stream_parser
{
public:
    static constexpr std::size_t max_event_bytes = 1U << 20;

    /** Appends received bytes to the buffer.

        @returns false if the buffered bytes exceed max_event_bytes
    */
    bool add(std::string_view bytes);

    /** Removes and returns the next complete event, or std::nullopt if more
        bytes are needed. */
    std::optional<server_sent_event> next();

    /** Returns true if the bytes after the last event, or after the comments
        and empty lines that follow it, are the start of an event. */
    bool is_within_event() const;

    /** The bytes after the last event that next() returned. */
    const std::string& remainder() const;

private:
    std::string buffer_;
    /** The end of the comments and empty lines at the start of the buffer. */
    std::size_t block_start_ = 0;
    std::size_t scan_position_ = 0;
};

} // namespace hibiscusferry

#endif
