#include "soak/response_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <poll.h>
#include <sys/socket.h>

namespace hibiscusferry::soak
{

using review::message_head;
using review::steady_clock;

namespace
{

bool is_digit(char character)
{
    return character >= '0' && character <= '9';
}

bool is_hex_digit(char character)
{
    return character != '\0' &&
           std::strchr("0123456789abcdefABCDEF", character) != nullptr;
}

bool is_name_character(char character)
{
    return is_digit(character) || (character >= 'a' && character <= 'z') ||
           (character >= 'A' && character <= 'Z') || character == '-';
}

bool is_value_character(char character)
{
    return character >= ' ' && character <= '~';
}

/** Returns what is wrong with a line of fields; empty if nothing is. */
std::string problem_of_field(const std::string& line)
{
    const std::size_t colon = line.find(':');
    const std::string name = line.substr(0, colon);
    if (colon == std::string::npos || name.empty() ||
        !std::all_of(name.begin(), name.end(), is_name_character))
        return "name of a field in '" + line + "'";
    if (!std::all_of(line.begin(), line.end(), is_value_character))
        return "value of a field in '" + line + "'";
    return {};
}

/** Returns what is wrong with the head of a response. Final responses with a
    length, with chunks or up to the end of the connection are all that a
   correct server sends here. */
std::string problem_of_head(const std::string& text, const message_head& head)
{
    constexpr std::size_t status_begin = 9;
    const std::string status = head.start_line.substr(
        std::min(status_begin, head.start_line.size()), 4);
    const bool is_status =
        head.start_line.rfind("HTTP/1.1 ", 0) == 0 && status.size() == 4 &&
        std::all_of(status.begin(), status.end() - 1, is_digit) &&
        status[3] == ' ' && status[0] >= '2' && status[0] <= '5';
    if (!is_status)
        return "status line '" + head.start_line + "'";
    std::size_t start = text.find("\r\n");
    while (start != std::string::npos)
    {
        start += 2;
        const std::size_t end = text.find("\r\n", start);
        const std::string problem =
            problem_of_field(text.substr(start, end - start));
        if (!problem.empty())
            return problem;
        start = end;
    }
    const auto count = [&head](const std::string& name)
    {
        return std::count_if(head.fields.begin(), head.fields.end(),
                             [&name](const review::header& field)
                             { return field.name == name; });
    };
    const std::string length = head.value("Content-Length");
    const bool is_framed =
        count("Transfer-Encoding") + count("Content-Length") <= 1 &&
        (count("Transfer-Encoding") == 0 ||
         head.value("Transfer-Encoding") == "chunked") &&
        (count("Content-Length") == 0 ||
         (!length.empty() &&
          std::all_of(length.begin(), length.end(), is_digit)));
    return is_framed ? std::string() : "framing of '" + text + "'";
}

message_head parse_head(const std::string& text)
{
    message_head head;
    std::size_t start = 0;
    while (start < text.size())
    {
        const std::size_t end = std::min(text.find("\r\n", start), text.size());
        const std::string line = text.substr(start, end - start);
        start = end + 2;
        const std::size_t colon = line.find(':');
        if (head.start_line.empty())
            head.start_line = line;
        else if (colon != std::string::npos)
            head.fields.push_back(
                {line.substr(0, colon),
                 line.substr(std::min(line.find_first_not_of(' ', colon + 1),
                                      line.size()))});
    }
    return head;
}

} // namespace

response_reader::response_reader(review::connection& peer)
    : peer_(peer)
{
}

bool response_reader::fill(steady_clock::time_point deadline)
{
    char bytes[16384];
    for (;;)
    {
        const ssize_t count =
            ::recv(peer_.descriptor(), bytes, sizeof bytes, 0);
        if (count > 0)
        {
            buffer_.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
        if (count == 0 || (errno != EAGAIN && errno != EINTR))
        {
            is_ended_ = true;
            is_reset_ = count != 0;
            return false;
        }
        const auto left = std::chrono::duration_cast<review::milliseconds>(
            deadline - steady_clock::now());
        pollfd ready{peer_.descriptor(), POLLIN, 0};
        if (left.count() <= 0 ||
            ::poll(&ready, 1, static_cast<int>(left.count())) == 0)
            return false;
    }
}

std::optional<message_head>
response_reader::read_head(steady_clock::time_point deadline)
{
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(deadline))
            return std::nullopt;
    }
    const std::string text = buffer_.substr(0, end);
    const message_head head = parse_head(text);
    buffer_.erase(0, end + 4);
    problem_ = problem_of_head(text, head);
    if (!problem_.empty())
        return std::nullopt;
    framing_ = head.value("Transfer-Encoding") == "chunked" ? framing::chunked
               : head.value("Content-Length").empty()       ? framing::unframed
                                                            : framing::length;
    remaining_ = head.content_length();
    is_within_chunk_ = false;
    return head;
}

response_reader::progress response_reader::failure() const
{
    if (!is_ended_)
        return progress::timed_out;
    return framing_ == framing::unframed && !is_reset_ ? progress::complete
                                                       : progress::broken;
}

response_reader::progress
response_reader::read_some(std::string& body, steady_clock::time_point deadline)
{
    if (framing_ == framing::chunked)
        return read_chunk(body, deadline);
    if (framing_ == framing::length && remaining_ == 0)
        return progress::complete;
    if (buffer_.empty() && !fill(deadline))
        return failure();
    const std::size_t size = framing_ == framing::length
                                 ? std::min(remaining_, buffer_.size())
                                 : buffer_.size();
    body.append(buffer_, 0, size);
    buffer_.erase(0, size);
    remaining_ -= framing_ == framing::length ? size : 0;
    return progress::data;
}

response_reader::progress
response_reader::read_chunk(std::string& body,
                            steady_clock::time_point deadline)
{
    if (!is_within_chunk_)
    {
        std::size_t end = std::string::npos;
        while ((end = buffer_.find("\r\n")) == std::string::npos)
        {
            if (!fill(deadline))
                return failure();
        }
        const bool is_size =
            end > 0 &&
            std::all_of(buffer_.begin(),
                        buffer_.begin() + static_cast<std::ptrdiff_t>(end),
                        is_hex_digit);
        if (!is_size)
        {
            problem_ = "size of a chunk '" + buffer_.substr(0, end) + "'";
            return progress::broken;
        }
        remaining_ = std::strtoul(buffer_.c_str(), nullptr, 16) + 2;
        buffer_.erase(0, end + 2);
        is_within_chunk_ = true;
    }
    const bool is_last = remaining_ == 2;
    while (buffer_.size() < remaining_)
    {
        if (!fill(deadline))
            return failure();
    }
    if (buffer_.compare(remaining_ - 2, 2, "\r\n") != 0)
    {
        problem_ = "end of a chunk";
        return progress::broken;
    }
    body.append(buffer_, 0, remaining_ - 2);
    buffer_.erase(0, remaining_);
    is_within_chunk_ = false;
    return is_last ? progress::complete : progress::data;
}

bool response_reader::is_ended() const
{
    return is_ended_;
}

const std::string& response_reader::problem() const
{
    return problem_;
}

} // namespace hibiscusferry::soak
