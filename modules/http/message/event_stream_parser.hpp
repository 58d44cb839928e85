#ifndef HIBISCUSFERRY_HTTP_MESSAGE_EVENT_STREAM_PARSER_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_EVENT_STREAM_PARSER_HPP

#include "foundation/foundation.hpp"
#include <optional>
#include <string>
#include <string_view>

namespace hibiscusferry
{

/** One server-sent event. */
struct server_sent_event
{
    std::string id;
    /** The event's data lines, joined. */
    std::string data;
    /** The event as it arrived, with its empty line. */
    std::string raw;
};

/** Cuts a byte stream into server-sent events (WHATWG HTML, "Server-sent
    events"; lines end in LF or CRLF).

    Bounded: an event larger than the limit makes the stream unreadable. */
class event_stream_parser
{
public:
    static constexpr std::size_t event_byte_limit = 1U << 20;

    /** Takes the next bytes in.
        @returns false when an event is too large */
    bool add(std::string_view bytes);

    /** The next whole event, if there is one. */
    std::optional<server_sent_event> next();

private:
    std::string buffer_;
    std::size_t searched_ = 0;
};

} // namespace hibiscusferry

#endif
