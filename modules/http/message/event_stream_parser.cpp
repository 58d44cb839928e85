#include "http/message/event_stream_parser.hpp"

#include <algorithm>

namespace hibiscusferry
{

namespace
{

/** Returns the position after the empty line that ends the first event, or
    npos if the event is incomplete. */
std::size_t find_event_end(const std::string& text, std::size_t from)
{
    for (std::size_t position = text.find('\n', from);
         position != std::string::npos;
         position = text.find('\n', position + 1))
    {
        std::size_t next = position + 1;
        if (next < text.size() && text[next] == '\r')
            ++next;
        if (next < text.size() && text[next] == '\n')
            return next + 1;
    }
    return std::string::npos;
}

std::string_view field_value(std::string_view line, std::string_view name)
{
    line.remove_prefix(name.size());
    if (!line.empty() && line.front() == ' ')
        line.remove_prefix(1);
    return line;
}

void parse_line(std::string_view line, server_sent_event& event)
{
    constexpr std::string_view id_field = "id:";
    constexpr std::string_view data_field = "data:";
    if (line.substr(0, id_field.size()) == id_field)
    {
        event.id = std::string(field_value(line, id_field));
    }
    else if (line.substr(0, data_field.size()) == data_field)
    {
        if (!event.data.empty())
            event.data.push_back('\n');
        event.data += field_value(line, data_field);
    }
}

void parse_lines(std::string_view text, server_sent_event& event)
{
    while (!text.empty())
    {
        const std::size_t line_end = std::min(text.find('\n'), text.size());
        std::string_view line = text.substr(0, line_end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parse_line(line, event);
        text.remove_prefix(std::min(line_end + 1, text.size()));
    }
}

} // namespace

bool event_stream_parser::add(std::string_view bytes)
{
    buffer_ += bytes;
    return buffer_.size() <= max_event_bytes;
}

std::optional<server_sent_event> event_stream_parser::next()
{
    for (std::size_t end = find_event_end(buffer_, scan_position_);
         end != std::string::npos; end = find_event_end(buffer_, end))
    {
        server_sent_event event;
        parse_lines(
            std::string_view(buffer_).substr(block_start_, end - block_start_),
            event);
        block_start_ = end;
        scan_position_ = end;
        const bool is_event = !event.id.empty() || !event.data.empty();
        if (!is_event)
            continue;
        event.raw = buffer_.substr(0, end);
        buffer_.erase(0, end);
        block_start_ = 0;
        scan_position_ = 0;
        return event;
    }
    // The last two bytes may be the start of the terminating empty line.
    scan_position_ =
        std::max(block_start_, buffer_.size() < 2 ? 0 : buffer_.size() - 2);
    return std::nullopt;
}

bool event_stream_parser::is_within_event() const
{
    return buffer_.find_first_not_of("\r\n", block_start_) != std::string::npos;
}

const std::string& event_stream_parser::remainder() const
{
    return buffer_;
}

} // namespace hibiscusferry
