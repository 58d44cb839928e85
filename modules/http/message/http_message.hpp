#ifndef HIBISCUSFERRY_HTTP_MESSAGE_HTTP_MESSAGE_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_HTTP_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** One header field of a message. */
struct http_header
{
    std::string name;
    std::string value;
};

/** The header fields of a message, in order; names compare without case. */
class http_headers
{
public:
    http_headers() = default;
    http_headers(std::initializer_list<http_header> fields);

    /** The first value of that name, or an empty text. */
    std::string_view value(std::string_view name) const;

    bool has(std::string_view name) const;

    /** Replaces all fields of that name by one. */
    void set(std::string_view name, std::string value);

    void add(std::string name, std::string value);
    void remove(std::string_view name);

    const std::vector<http_header>& fields() const;

private:
    std::vector<http_header> fields_;
};

/** A request with its whole body. */
struct http_request
{
    std::string method = "GET";
    /** Path and query, as in the request line. */
    std::string target = "/";
    http_headers headers;
    std::string body;

    /** The target without its query. */
    std::string_view path() const;

    /** The decoded value of a query parameter, or an empty text. */
    std::string query(std::string_view name) const;
};

/** Status and header fields of an answer. */
struct http_response_head
{
    unsigned status = 200;
    http_headers headers;
};

/** An answer with its whole body. */
struct http_response
{
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/** Where a server listens. */
struct http_endpoint
{
    /** An IP number. */
    std::string address;
    std::uint16_t port = 0;

    /** "ADDRESS:PORT". */
    std::string text() const;
};

bool operator<(const http_endpoint& left, const http_endpoint& right);

/** An answer with a JSON body. */
http_response json_response(unsigned status, std::string body);

} // namespace hibiscusferry

#endif
