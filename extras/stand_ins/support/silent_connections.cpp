#include "stand_ins/support/silent_connections.hpp"

namespace hibiscusferry::stand_ins
{

void silent_connections::add(const http_endpoint& client)
{
    active_.insert(client);
}

void silent_connections::silence_all()
{
    silent_.insert(active_.begin(), active_.end());
    active_.clear();
}

bool silent_connections::is_silent(const http_endpoint& client) const
{
    return silent_.count(client) > 0;
}

void silent_connections::remove(const http_endpoint& client)
{
    active_.erase(client);
    silent_.erase(client);
}

} // namespace hibiscusferry::stand_ins
