#include "soak/response_reader.hpp"

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <poll.h>
#include <sys/socket.h>

namespace hibiscusferry::soak
{

using review::message_head;
using review::steady_clock;

namespace
{

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
    const message_head head = parse_head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
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
    body.append(buffer_, 0, remaining_ - 2);
    buffer_.erase(0, remaining_);
    is_within_chunk_ = false;
    return is_last ? progress::complete : progress::data;
}

bool response_reader::is_ended() const
{
    return is_ended_;
}

} // namespace hibiscusferry::soak
