#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_SILENT_CONNECTIONS_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_SILENT_CONNECTIONS_HPP

#include "http/http.hpp"
#include <set>

namespace hibiscusferry::stand_ins
{

/** Tracks connections that stay unresponsive until they are closed, while new
    connections work normally.

    A connection is identified by the client's address and port and is tracked
    from its first request on.
*/
class silent_connections
{
public:
    /** Tracks the connection of a request. */
    void add(const http_endpoint& client);

    /** Makes all connections tracked so far unresponsive. */
    void silence_all();

    bool is_silent(const http_endpoint& client) const;

    /** Removes a closed connection, because its port may be reused. */
    void remove(const http_endpoint& client);

private:
    std::set<http_endpoint> active_;
    std::set<http_endpoint> silent_;
};

} // namespace hibiscusferry::stand_ins

#endif
