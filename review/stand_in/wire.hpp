#ifndef HIBISCUSFERRY_REVIEW_STAND_IN_WIRE_HPP
#define HIBISCUSFERRY_REVIEW_STAND_IN_WIRE_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review.

namespace review
{

using steady_clock = std::chrono::steady_clock;
using milliseconds = std::chrono::milliseconds;

struct header
{
    std::string name;
    std::string value;
};

/** The start line and the header fields of a request or a response. */
struct message_head
{
    std::string start_line;
    std::vector<header> fields;

    /** The value of a field; empty if there is none. */
    std::string value(const std::string& name) const;
    /** The status of a response; 0 if it cannot be read. */
    int status() const;
    /** The method and the target of a request. */
    std::string method() const;
    std::string target() const;
    std::string path() const;
    /** A decoded parameter of the query; empty if there is none. */
    std::string query(const std::string& name) const;
    std::size_t content_length() const;
};

/** A socket with a read buffer. Every call blocks up to its timeout. */
class connection
{
public:
    explicit connection(int descriptor);
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /** Connects from any loopback address; null on failure. */
    static std::unique_ptr<connection>
    open(const std::string& address, std::uint16_t port, milliseconds timeout);

    /** @returns none if the connection ended or the time is over */
    std::optional<message_head> read_head(milliseconds timeout);
    /** Reads the body that a head announces, by length, in chunks, or until
        the connection ends.
        @param bytes_per_s  at most so fast; 0 is without a limit
        @returns none if the body is incomplete */
    std::optional<std::string> read_body(const message_head& head,
                                         milliseconds timeout,
                                         double bytes_per_s = 0);
    /** @param bytes_per_s  at most so fast; 0 is without a limit
        @returns whether all was written */
    bool write(const std::string& bytes, double bytes_per_s = 0);

    /** Limits what the kernel buffers, as links with small windows do. */
    void set_small_buffers();
    /** Whether the peer has closed the connection. */
    bool is_closed_by_peer() const;
    /** Closes the connection with a reset. */
    void reset();
    int descriptor() const;

private:
    bool fill(steady_clock::time_point deadline);
    std::optional<std::string> read_exactly(std::size_t bytes,
                                            steady_clock::time_point deadline,
                                            double bytes_per_s);
    std::optional<std::string> read_line(steady_clock::time_point deadline);
    std::optional<std::string> read_chunks(steady_clock::time_point deadline);

    int descriptor_;
    std::string buffer_;
};

/** Accepts connections at an address and serves each in a thread. */
class listener
{
public:
    using handler = std::function<void(connection&)>;

    listener(const std::string& address, std::uint16_t port, handler serve);
    ~listener();
    listener(const listener&) = delete;
    listener& operator=(const listener&) = delete;

    std::uint16_t port() const;

private:
    int descriptor_;
    std::uint16_t port_ = 0;
};

/** Returns a port that is free at an address. */
std::uint16_t free_port(const std::string& address);

std::string encode_base64(const std::string& bytes);

} // namespace review

#endif
