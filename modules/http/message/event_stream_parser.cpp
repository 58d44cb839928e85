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

} // namespace

bool event_stream_parser::add(std::string_view bytes)
{
    buffer_ += bytes;
    return buffer_.size() <= max_event_bytes;
}

std::optional<server_sent_event> event_stream_parser::next()
{
    const std::size_t end = find_event_end(buffer_, scan_position_);
    if (end == std::string::npos)
    {
        // The last two bytes may be the start of the terminating empty line.
        scan_position_ = buffer_.size() < 2 ? 0 : buffer_.size() - 2;
        return std::nullopt;
    }

    server_sent_event event;
    event.raw = buffer_.substr(0, end);
    buffer_.erase(0, end);
    scan_position_ = 0;
    std::string_view rest = event.raw;
    while (!rest.empty())
    {
        const std::size_t line_end = std::min(rest.find('\n'), rest.size());
        std::string_view line = rest.substr(0, line_end);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        parse_line(line, event);
        rest.remove_prefix(std::min(line_end + 1, rest.size()));
    }
    return event;
}

} // namespace hibiscusferry
