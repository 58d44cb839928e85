#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_3_NET_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_3_NET_HPP

#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <ctime>
#include <map>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

// Blocking HTTP/1.1 over loopback, shared by the stand-ins of this review.

namespace review
{

/** Milliseconds of the steady clock. */
inline std::int64_t now_ms()
{
    timespec now{};
    ::clock_gettime(CLOCK_MONOTONIC, &now);
    return static_cast<std::int64_t>(now.tv_sec) * 1000 + now.tv_nsec / 1000000;
}

inline std::int64_t unix_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/** Parses "IP:PORT". */
inline sockaddr_in address_of(const std::string& text)
{
    sockaddr_in address{};
    const std::size_t colon = text.find(':');
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    address.sin_port =
        htons(static_cast<std::uint16_t>(std::atoi(text.c_str() + colon + 1)));
    return address;
}

/** @returns a listening socket; exits with 2 if there is none */
inline int listen_on(const std::string& endpoint)
{
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const sockaddr_in address = address_of(endpoint);
    if (::bind(listener, reinterpret_cast<const sockaddr*>(&address),
               sizeof address) != 0 ||
        ::listen(listener, 512) != 0)
        std::exit(2);
    return listener;
}

/** @returns a connected socket, or -1 */
inline int connect_to(const std::string& endpoint)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = address_of(endpoint);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address),
                  sizeof address) != 0)
    {
        ::close(descriptor);
        return -1;
    }
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof enabled);
    return descriptor;
}

inline bool send_all(int descriptor, const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size())
    {
        const ssize_t count = ::send(descriptor, bytes.data() + sent,
                                     bytes.size() - sent, MSG_NOSIGNAL);
        if (count <= 0)
            return false;
        sent += static_cast<std::size_t>(count);
    }
    return true;
}

/** The start line and the fields, with lower-case names, of a message. */
struct message_head
{
    std::string first;
    std::map<std::string, std::string> fields;

    std::string field(const std::string& name) const
    {
        const auto match = fields.find(name);
        return match == fields.end() ? std::string() : match->second;
    }
};

inline message_head parse_head(const std::string& text)
{
    message_head head;
    std::size_t begin = 0;
    while (begin < text.size())
    {
        const std::size_t end = std::min(text.find("\r\n", begin), text.size());
        const std::string line = text.substr(begin, end - begin);
        begin = end + 2;
        const std::size_t colon = line.find(':');
        if (head.first.empty())
        {
            head.first = line;
            continue;
        }
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char& letter : name)
            letter = static_cast<char>(
                std::tolower(static_cast<unsigned char>(letter)));
        const std::size_t value = line.find_first_not_of(' ', colon + 1);
        head.fields[name] =
            value == std::string::npos ? std::string() : line.substr(value);
    }
    return head;
}

/** Takes a whole message with a length, or without a body, out of a buffer.
    @returns false if it is not complete */
inline bool take_message(std::string& buffer, message_head& head,
                         std::string& body)
{
    const std::size_t end = buffer.find("\r\n\r\n");
    if (end == std::string::npos)
        return false;
    head = parse_head(buffer.substr(0, end));
    const std::size_t length = static_cast<std::size_t>(
        std::atol(head.field("content-length").c_str()));
    if (buffer.size() < end + 4 + length)
        return false;
    body = buffer.substr(end + 4, length);
    buffer.erase(0, end + 4 + length);
    return true;
}

/** Reads a message with a length. */
inline bool read_message(int descriptor, std::string& buffer,
                         message_head& head, std::string& body)
{
    while (!take_message(buffer, head, body))
    {
        char bytes[16384];
        const ssize_t count = ::recv(descriptor, bytes, sizeof bytes, 0);
        if (count <= 0)
            return false;
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return true;
}

/** Makes one call over a connection of its own.
    @returns the status, or 0 if there was no answer */
inline int call(const std::string& endpoint, const std::string& method,
                const std::string& target, const std::string& body,
                std::string& response)
{
    const int descriptor = connect_to(endpoint);
    if (descriptor < 0)
        return 0;
    const std::string request =
        method + " " + target + " HTTP/1.1\r\nHost: " + endpoint +
        "\r\nConnection: close\r\nContent-Type: application/json\r\n"
        "Content-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    std::string buffer;
    message_head head;
    const bool is_answered = send_all(descriptor, request) &&
                             read_message(descriptor, buffer, head, response);
    ::close(descriptor);
    return is_answered ? std::atoi(head.first.c_str() + 9) : 0;
}

/** Encodes in base64. */
inline std::string encode_value(const std::string& bytes)
{
    constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuv"
                              "wxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        unsigned group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8 |
                    (at + index < bytes.size()
                         ? static_cast<unsigned char>(bytes[at + index])
                         : 0U);
        for (int index = 3; index >= 0; --index)
            text += digits[group >> (6 * index) & 63];
    }
    const std::size_t padding = (3 - bytes.size() % 3) % 3;
    return text.replace(text.size() - padding, padding, padding, '=');
}

} // namespace review

#endif
