#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_SILENT_CONNECTIONS_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_SUPPORT_SILENT_CONNECTIONS_HPP

#include "http/http.hpp"
#include <set>

namespace hibiscusferry::stand_ins
{

/** Connections that go silent for good while new ones work.

    A connection is known by its client's address and port, from its first
    request on.
*/
class silent_connections
{
public:
    /** Notes the connection of a request. */
    void add(const http_endpoint& client);

    /** Silences all connections noted so far. */
    void silence_all();

    bool is_silent(const http_endpoint& client) const;

    /** Forgets a connection that was closed; its port may be used again. */
    void remove(const http_endpoint& client);

private:
    std::set<http_endpoint> active_;
    std::set<http_endpoint> silent_;
};

} // namespace hibiscusferry::stand_ins

#endif
