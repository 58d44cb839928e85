#include "wire.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review
{

namespace
{

constexpr std::size_t read_bytes = 64U << 10;

std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char letter)
                   { return static_cast<char>(std::tolower(letter)); });
    return text;
}

std::string decode_url(const std::string& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] != '%' || index + 2 >= text.size())
        {
            decoded += text[index];
            continue;
        }
        decoded += static_cast<char>(
            std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16));
        index += 2;
    }
    return decoded;
}

sockaddr_in socket_address(const std::string& address, std::uint16_t port)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    ::inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

int milliseconds_until(steady_clock::time_point deadline)
{
    const auto left = std::chrono::duration_cast<milliseconds>(
        deadline - steady_clock::now());
    return static_cast<int>(std::max<std::int64_t>(left.count(), 0));
}

} // namespace

// ========================================================================
// message_head

std::string message_head::value(const std::string& name) const
{
    for (const header& field : fields)
    {
        if (lower(field.name) == lower(name))
            return field.value;
    }
    return {};
}

int message_head::status() const
{
    const std::size_t space = start_line.find(' ');
    return space == std::string::npos
               ? 0
               : std::atoi(start_line.c_str() + space + 1);
}

std::string message_head::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string message_head::target() const
{
    const std::size_t first = start_line.find(' ');
    if (first == std::string::npos)
        return {};
    return start_line.substr(first + 1,
                             start_line.find(' ', first + 1) - first - 1);
}

std::string message_head::path() const
{
    const std::string full = target();
    return full.substr(0, full.find('?'));
}

std::string message_head::query(const std::string& name) const
{
    const std::string full = target();
    std::size_t position = full.find('?');
    while (position != std::string::npos)
    {
        const std::size_t end = full.find('&', position + 1);
        const std::string part = full.substr(
            position + 1, end == std::string::npos ? end : end - position - 1);
        if (part.substr(0, part.find('=')) == name &&
            part.find('=') != std::string::npos)
            return decode_url(part.substr(part.find('=') + 1));
        position = end;
    }
    return {};
}

std::size_t message_head::content_length() const
{
    return std::strtoul(value("Content-Length").c_str(), nullptr, 10);
}

// ========================================================================
// connection

connection::connection(int descriptor)
    : descriptor_(descriptor)
{
    const int on = 1;
    ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    ::fcntl(descriptor_, F_SETFL, ::fcntl(descriptor_, F_GETFL) | O_NONBLOCK);
}

connection::~connection()
{
    ::close(descriptor_);
}

std::unique_ptr<connection> connection::open(const std::string& address,
                                             std::uint16_t port,
                                             milliseconds timeout)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    std::unique_ptr<connection> result =
        std::make_unique<connection>(descriptor);
    const sockaddr_in peer = socket_address(address, port);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&peer),
                  sizeof peer) == 0)
        return result;
    if (errno != EINPROGRESS)
        return nullptr;
    pollfd ready{descriptor, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&ready, 1, static_cast<int>(timeout.count())) != 1 ||
        ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0)
        return nullptr;
    return result;
}

bool connection::fill(steady_clock::time_point deadline)
{
    for (;;)
    {
        char bytes[read_bytes];
        const ssize_t count = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (count > 0)
        {
            buffer_.append(bytes, static_cast<std::size_t>(count));
            return true;
        }
        if (count == 0 || (errno != EAGAIN && errno != EINTR))
            return false;
        pollfd ready{descriptor_, POLLIN, 0};
        const int left = milliseconds_until(deadline);
        if (left == 0 || ::poll(&ready, 1, left) == 0)
            return false;
    }
}

std::optional<message_head> connection::read_head(milliseconds timeout)
{
    const steady_clock::time_point deadline = steady_clock::now() + timeout;
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos)
    {
        if (!fill(deadline))
            return std::nullopt;
    }
    message_head head;
    std::size_t start = 0;
    while (start <= end)
    {
        const std::size_t line_end = std::min(buffer_.find("\r\n", start), end);
        const std::string line = buffer_.substr(start, line_end - start);
        start = line_end + 2;
        if (head.start_line.empty())
        {
            head.start_line = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.fields.push_back(
            {line.substr(0, colon),
             value == std::string::npos ? "" : line.substr(value)});
    }
    buffer_.erase(0, end + 4);
    return head;
}

std::optional<std::string>
connection::read_exactly(std::size_t bytes, steady_clock::time_point deadline,
                         double bytes_per_s)
{
    std::string result;
    const steady_clock::time_point start = steady_clock::now();
    while (result.size() < bytes)
    {
        if (buffer_.empty() && !fill(deadline))
            return std::nullopt;
        const std::size_t count =
            std::min(bytes - result.size(), buffer_.size());
        result.append(buffer_, 0, count);
        buffer_.erase(0, count);
        if (bytes_per_s <= 0)
            continue;
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<steady_clock::duration>(
                        std::chrono::duration<double>(
                            static_cast<double>(result.size()) / bytes_per_s)));
    }
    return result;
}

std::optional<std::string>
connection::read_line(steady_clock::time_point deadline)
{
    std::size_t end = std::string::npos;
    while ((end = buffer_.find("\r\n")) == std::string::npos)
    {
        if (!fill(deadline))
            return std::nullopt;
    }
    const std::string line = buffer_.substr(0, end);
    buffer_.erase(0, end + 2);
    return line;
}

std::optional<std::string>
connection::read_chunks(steady_clock::time_point deadline)
{
    std::string body;
    for (;;)
    {
        const std::optional<std::string> size = read_line(deadline);
        if (!size)
            return std::nullopt;
        const std::size_t bytes = std::strtoul(size->c_str(), nullptr, 16);
        const std::optional<std::string> chunk =
            read_exactly(bytes, deadline, 0);
        if (!chunk || !read_line(deadline))
            return std::nullopt;
        if (bytes == 0)
            return body;
        body += *chunk;
    }
}

std::optional<std::string> connection::read_body(const message_head& head,
                                                 milliseconds timeout,
                                                 double bytes_per_s)
{
    const steady_clock::time_point deadline = steady_clock::now() + timeout;
    if (lower(head.value("Transfer-Encoding")) == "chunked")
        return read_chunks(deadline);
    return read_exactly(head.content_length(), deadline, bytes_per_s);
}

bool connection::write(const std::string& bytes, double bytes_per_s)
{
    constexpr std::size_t paced_bytes = 16U << 10;
    constexpr int write_timeout_ms = 30000;
    const steady_clock::time_point start = steady_clock::now();
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const std::size_t size =
            bytes_per_s > 0 ? std::min(paced_bytes, bytes.size() - written)
                            : bytes.size() - written;
        const ssize_t count =
            ::send(descriptor_, bytes.data() + written, size, MSG_NOSIGNAL);
        if (count < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        if (count < 0)
        {
            pollfd ready{descriptor_, POLLOUT, 0};
            if (::poll(&ready, 1, write_timeout_ms) == 0)
                return false;
            continue;
        }
        written += static_cast<std::size_t>(count);
        if (bytes_per_s > 0)
            std::this_thread::sleep_until(
                start + std::chrono::duration_cast<steady_clock::duration>(
                            std::chrono::duration<double>(
                                static_cast<double>(written) / bytes_per_s)));
    }
    return true;
}

void connection::set_small_buffers()
{
    const int bytes = 64 << 10;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    ::setsockopt(descriptor_, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
}

bool connection::is_closed_by_peer() const
{
    char byte = 0;
    const ssize_t count =
        ::recv(descriptor_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void connection::reset()
{
    const linger now{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    ::shutdown(descriptor_, SHUT_RD);
}

int connection::descriptor() const
{
    return descriptor_;
}

// ========================================================================
// listener

listener::listener(const std::string& address, std::uint16_t port,
                   handler serve)
    : descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int on = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in local = socket_address(address, port);
    socklen_t size = sizeof local;
    constexpr int backlog = 1024;
    if (::bind(descriptor_, reinterpret_cast<sockaddr*>(&local), size) != 0 ||
        ::listen(descriptor_, backlog) != 0 ||
        ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local),
                      &size) != 0)
    {
        std::perror("listen");
        std::_Exit(2);
    }
    port_ = ntohs(local.sin_port);
    std::thread(
        [descriptor = descriptor_, serve = std::move(serve)]
        {
            for (;;)
            {
                const int accepted =
                    ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0 && errno == EINTR)
                    continue;
                if (accepted < 0)
                    return;
                std::thread(
                    [accepted, serve]
                    {
                        connection peer(accepted);
                        serve(peer);
                    })
                    .detach();
            }
        })
        .detach();
}

listener::~listener()
{
    ::shutdown(descriptor_, SHUT_RDWR);
    ::close(descriptor_);
}

std::uint16_t listener::port() const
{
    return port_;
}

std::uint16_t free_port(const std::string& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in local = socket_address(address, 0);
    socklen_t size = sizeof local;
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&local), size);
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local), &size);
    ::close(descriptor);
    return ntohs(local.sin_port);
}

std::string encode_base64(const std::string& bytes)
{
    static const char digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8 |
                    (index + offset < bytes.size()
                         ? static_cast<unsigned char>(bytes[index + offset])
                         : 0U);
        for (std::size_t offset = 0; offset < 4; ++offset)
            text += index + offset > bytes.size()
                        ? '='
                        : digits[group >> (18 - 6 * offset) & 63U];
    }
    return text;
}

} // namespace review
