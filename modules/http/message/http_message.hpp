#ifndef HIBISCUSFERRY_HTTP_MESSAGE_HTTP_MESSAGE_HPP
#define HIBISCUSFERRY_HTTP_MESSAGE_HTTP_MESSAGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hibiscusferry
{

/** A header field of a message. */
struct http_header
{
    std::string name;
    std::string value;
};

/** The header fields of a message, in the order they were added.

    Field names are compared case-insensitively.
*/
class http_headers
{
public:
    http_headers() = default;
    http_headers(std::initializer_list<http_header> fields);

    /** Returns the value of the first field with that name, or an empty
        string. */
    std::string_view value(std::string_view name) const;

    bool has(std::string_view name) const;

    /** Replaces all fields with that name by a single one. */
    void set(std::string_view name, std::string value);

    void add(std::string name, std::string value);
    void remove(std::string_view name);

    const std::vector<http_header>& fields() const;

private:
    std::vector<http_header> fields_;
};

/** A request with its complete body. */
struct http_request
{
    std::string method = "GET";
    /** The path and query, as they appear in the request line. */
    std::string target = "/";
    http_headers headers;
    std::string body;

    /** Returns the target without its query. */
    std::string_view path() const;

    /** Returns the percent-decoded value of a query parameter, or an empty
        string. */
    std::string query(std::string_view name) const;
};

/** The status and header fields of a response. */
struct http_response_head
{
    unsigned status = 200;
    http_headers headers;
};

/** A response with its complete body. */
struct http_response
{
    unsigned status = 200;
    http_headers headers;
    std::string body;
};

/** The IP address and port of a server. */
struct http_endpoint
{
    /** An IPv4 or IPv6 address in text form. */
    std::string address;
    std::uint16_t port = 0;

    /** Returns "ADDRESS:PORT". */
    std::string text() const;
};

bool operator<(const http_endpoint& left, const http_endpoint& right);

/** Makes a response with a JSON body. */
http_response json_response(unsigned status, std::string body);

} // namespace hibiscusferry

#endif
