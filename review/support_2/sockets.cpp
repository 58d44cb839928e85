#include "sockets.hpp"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review
{

namespace
{

sockaddr_in to_sockaddr(const address& from)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(from.port);
    ::inet_pton(AF_INET, from.ip.c_str(), &result.sin_addr);
    return result;
}

std::string trimmed(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    if (begin == std::string::npos)
        return {};
    return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

/** Reads more bytes into the buffer.
    @returns false at the end of the connection or of the time */
bool read_more(tcp_socket& socket, std::string& buffer,
               std::int64_t deadline_ms)
{
    const std::int64_t left = deadline_ms - now_ms();
    return left > 0 && socket.read(buffer, static_cast<int>(left)) > 0;
}

bool read_line(tcp_socket& socket, std::string& buffer, std::string& line,
               std::int64_t deadline_ms)
{
    std::size_t end = buffer.find("\r\n");
    while (end == std::string::npos)
    {
        if (!read_more(socket, buffer, deadline_ms))
            return false;
        end = buffer.find("\r\n");
    }
    line = buffer.substr(0, end);
    buffer.erase(0, end + 2);
    return true;
}

bool read_bytes(tcp_socket& socket, std::string& buffer, std::size_t count,
                std::string& bytes, std::int64_t deadline_ms)
{
    while (buffer.size() < count)
    {
        if (!read_more(socket, buffer, deadline_ms))
        {
            bytes += buffer;
            buffer.clear();
            return false;
        }
    }
    bytes += buffer.substr(0, count);
    buffer.erase(0, count);
    return true;
}

bool read_chunks(tcp_socket& socket, std::string& buffer, std::string& body,
                 std::int64_t deadline_ms)
{
    std::string line;
    for (;;)
    {
        if (!read_line(socket, buffer, line, deadline_ms))
            return false;
        const std::size_t size = std::strtoul(line.c_str(), nullptr, 16);
        if (size == 0)
            break;
        std::string end;
        if (!read_bytes(socket, buffer, size, body, deadline_ms) ||
            !read_bytes(socket, buffer, 2, end, deadline_ms))
            return false;
    }
    while (!line.empty())
    {
        if (!read_line(socket, buffer, line, deadline_ms))
            return false;
    }
    return true;
}

} // namespace

std::int64_t now_ms()
{
    static const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - start)
        .count();
}

void sleep_ms(std::int64_t duration)
{
    if (duration > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(duration));
}

std::string address::text() const
{
    return ip + ":" + std::to_string(port);
}

// ========================================================================
// tcp_socket

tcp_socket::tcp_socket(int descriptor)
    : descriptor_(descriptor)
{
}

tcp_socket::~tcp_socket()
{
    close();
}

tcp_socket::tcp_socket(tcp_socket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1))
    , bytes_per_s_(other.bytes_per_s_)
{
}

tcp_socket& tcp_socket::operator=(tcp_socket&& other) noexcept
{
    std::swap(descriptor_, other.descriptor_);
    std::swap(bytes_per_s_, other.bytes_per_s_);
    return *this;
}

tcp_socket tcp_socket::connect(const address& to)
{
    tcp_socket opened(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    const sockaddr_in remote = to_sockaddr(to);
    const int one = 1;
    ::setsockopt(opened.descriptor_, IPPROTO_TCP, TCP_NODELAY, &one,
                 sizeof one);
    if (::connect(opened.descriptor_,
                  reinterpret_cast<const sockaddr*>(&remote),
                  sizeof remote) != 0)
        opened.close();
    return opened;
}

bool tcp_socket::is_open() const
{
    return descriptor_ >= 0;
}

int tcp_socket::descriptor() const
{
    return descriptor_;
}

std::uint16_t tcp_socket::peer_port() const
{
    sockaddr_in remote{};
    socklen_t size = sizeof remote;
    ::getpeername(descriptor_, reinterpret_cast<sockaddr*>(&remote), &size);
    return ntohs(remote.sin_port);
}

bool tcp_socket::write(const std::string& bytes)
{
    std::size_t written = 0;
    while (written < bytes.size())
    {
        const ssize_t count = ::send(descriptor_, bytes.data() + written,
                                     bytes.size() - written, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        written += static_cast<std::size_t>(count);
    }
    return true;
}

int tcp_socket::read(std::string& bytes, int timeout_ms)
{
    pollfd readable{descriptor_, POLLIN, 0};
    if (::poll(&readable, 1, timeout_ms) <= 0)
        return -1;
    char chunk[16384];
    const ssize_t count = ::recv(descriptor_, chunk, sizeof chunk, 0);
    if (count < 0)
        return -2;
    bytes.append(chunk, static_cast<std::size_t>(count));
    const std::int64_t rate =
        bytes_per_s_ != nullptr ? bytes_per_s_->load() : 0;
    if (rate > 0)
        std::this_thread::sleep_for(
            std::chrono::microseconds(1000000 * count / rate));
    return static_cast<int>(count);
}

void tcp_socket::limit_reading(const std::atomic<std::int64_t>& bytes_per_s)
{
    bytes_per_s_ = &bytes_per_s;
}

void tcp_socket::shutdown_write()
{
    ::shutdown(descriptor_, SHUT_WR);
}

void tcp_socket::reset()
{
    const linger abort{1, 0};
    ::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
    close();
}

void tcp_socket::close()
{
    if (descriptor_ >= 0)
        ::close(descriptor_);
    descriptor_ = -1;
}

// ========================================================================
// HTTP

std::string http_message::value(const std::string& name) const
{
    for (const auto& [field, text] : fields)
    {
        if (::strcasecmp(field.c_str(), name.c_str()) == 0)
            return text;
    }
    return {};
}

std::string http_message::method() const
{
    return start_line.substr(0, start_line.find(' '));
}

std::string http_message::target() const
{
    const std::size_t begin = start_line.find(' ') + 1;
    return start_line.substr(begin, start_line.find(' ', begin) - begin);
}

int http_message::status() const
{
    const std::size_t begin = start_line.find(' ');
    return begin == std::string::npos
               ? 0
               : std::atoi(start_line.c_str() + begin + 1);
}

bool read_message(tcp_socket& socket, std::string& buffer,
                  http_message& message, std::int64_t deadline_ms,
                  bool is_response,
                  const std::function<void(const http_message&)>& on_head)
{
    message = {};
    if (!read_line(socket, buffer, message.start_line, deadline_ms))
        return false;
    std::string line;
    for (;;)
    {
        if (!read_line(socket, buffer, line, deadline_ms))
            return false;
        if (line.empty())
            break;
        const std::size_t colon = line.find(':');
        if (colon != std::string::npos)
            message.fields.emplace_back(line.substr(0, colon),
                                        trimmed(line.substr(colon + 1)));
    }
    if (on_head)
        on_head(message);
    const std::string length = message.value("Content-Length");
    if (::strcasecmp(message.value("Transfer-Encoding").c_str(), "chunked") ==
        0)
        message.is_complete =
            read_chunks(socket, buffer, message.body, deadline_ms);
    else if (!length.empty())
        message.is_complete = read_bytes(
            socket, buffer, std::strtoul(length.c_str(), nullptr, 10),
            message.body, deadline_ms);
    else if (is_response)
    {
        message.body = std::exchange(buffer, {});
        int count = 1;
        while (count > 0)
            count = socket.read(message.body,
                                static_cast<int>(std::max<std::int64_t>(
                                    deadline_ms - now_ms(), 1)));
        message.is_complete = count == 0;
    }
    else
        message.is_complete = true;
    return true;
}

std::string
response_text(int status, const std::string& body,
              const std::vector<std::pair<std::string, std::string>>& fields)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : fields)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

// ========================================================================
// listener

listener::listener(const address& at, handler serve, int buffer_bytes)
    : at_(at)
    , descriptor_(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    const int one = 1;
    ::setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (buffer_bytes > 0)
        ::setsockopt(descriptor_, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
                     sizeof buffer_bytes);
    sockaddr_in local = to_sockaddr(at);
    if (::bind(descriptor_, reinterpret_cast<const sockaddr*>(&local),
               sizeof local) != 0 ||
        ::listen(descriptor_, 512) != 0)
    {
        std::fprintf(stderr, "cannot listen on %s\n", at.text().c_str());
        std::_Exit(2);
    }
    socklen_t size = sizeof local;
    ::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&local), &size);
    at_.port = ntohs(local.sin_port);
    std::thread(
        [descriptor = descriptor_, serve = std::move(serve)]
        {
            for (;;)
            {
                const int accepted =
                    ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
                if (accepted < 0)
                    continue;
                const int enabled = 1;
                ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &enabled,
                             sizeof enabled);
                std::thread([serve, accepted] { serve(tcp_socket(accepted)); })
                    .detach();
            }
        })
        .detach();
}

const address& listener::at() const
{
    return at_;
}

std::uint16_t free_port(const std::vector<std::string>& ips)
{
    for (int attempt = 0; attempt < 100; ++attempt)
    {
        std::uint16_t port = 0;
        bool is_free = true;
        for (const std::string& ip : ips)
        {
            const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
            sockaddr_in local = to_sockaddr({ip, port});
            is_free =
                is_free &&
                ::bind(descriptor, reinterpret_cast<const sockaddr*>(&local),
                       sizeof local) == 0;
            socklen_t size = sizeof local;
            ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&local),
                          &size);
            port = ntohs(local.sin_port);
            ::close(descriptor);
        }
        if (is_free)
            return port;
    }
    std::fprintf(stderr, "no free port\n");
    std::_Exit(2);
}

} // namespace review
