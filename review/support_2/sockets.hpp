#ifndef HIBISCUSFERRY_REVIEW_SUPPORT_2_SOCKETS_HPP
#define HIBISCUSFERRY_REVIEW_SUPPORT_2_SOCKETS_HPP

#include <atomic>
#include <cstdint>
#include <functional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

// Blocking sockets and HTTP messages for the stand-ins of the review.

namespace review
{

/** Milliseconds of the steady clock since the first call. */
std::int64_t now_ms();

void sleep_ms(std::int64_t duration);

/** An address of the loopback range. */
struct address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const;
};

/** A TCP connection. Closed when the object is destroyed. */
class tcp_socket
{
public:
    explicit tcp_socket(int descriptor = -1);
    ~tcp_socket();
    tcp_socket(tcp_socket&& other) noexcept;
    tcp_socket& operator=(tcp_socket&& other) noexcept;
    tcp_socket(const tcp_socket&) = delete;
    tcp_socket& operator=(const tcp_socket&) = delete;

    static tcp_socket connect(const address& to);

    bool is_open() const;
    int descriptor() const;
    std::uint16_t peer_port() const;

    /** Writes all bytes.
        @returns whether the peer took them */
    bool write(const std::string& bytes);

    /** Waits for bytes up to the timeout in milliseconds.
        @returns the number of bytes added to `bytes`, 0 at the end of the
                 connection, -1 on a timeout, -2 on a reset */
    int read(std::string& bytes, int timeout_ms);

    /** Reads this many bytes a second from now on, while the number isn't 0.
        @param bytes_per_s  must outlive the socket */
    void limit_reading(const std::atomic<std::int64_t>& bytes_per_s);

    void shutdown_write();
    /** Closes the connection with a reset. */
    void reset();
    void close();

private:
    int descriptor_;
    const std::atomic<std::int64_t>* bytes_per_s_ = nullptr;
};

/** A request or a response. */
struct http_message
{
    std::string start_line;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    bool is_complete = false;

    /** The value of a header field; empty if there is none. */
    std::string value(const std::string& name) const;
    std::string method() const;
    std::string target() const;
    int status() const;
};

/** Reads a message; `buffer` holds what was read beyond it.
    @param on_head  is called when the head has been read
    @returns whether a head was read. The body may be incomplete. */
bool read_message(tcp_socket& socket, std::string& buffer,
                  http_message& message, std::int64_t deadline_ms,
                  bool is_response,
                  const std::function<void(const http_message&)>& on_head = {});

/** The text of a response with a body of known length. */
std::string
response_text(int status, const std::string& body,
              const std::vector<std::pair<std::string, std::string>>& fields);

/** Accepts connections and calls the handler of each in a thread of its own. */
class listener
{
public:
    using handler = std::function<void(tcp_socket)>;

    /** @param at             port 0 selects a free one
        @param buffer_bytes  the size of the receive buffers; 0 leaves them */
    listener(const address& at, handler serve, int buffer_bytes = 0);

    const address& at() const;

private:
    address at_;
    int descriptor_ = -1;
};

/** A port that is free on all the addresses. */
std::uint16_t free_port(const std::vector<std::string>& ips);

} // namespace review

#endif
