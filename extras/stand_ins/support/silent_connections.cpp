#include "stand_ins/support/silent_connections.hpp"

namespace hibiscusferry::stand_ins
{

void silent_connections::note(const http_endpoint& client)
{
    known_.insert(client);
}

void silent_connections::silence_all()
{
    silent_.insert(known_.begin(), known_.end());
    known_.clear();
}

bool silent_connections::is_silent(const http_endpoint& client) const
{
    return silent_.count(client) > 0;
}

void silent_connections::forget(const http_endpoint& client)
{
    known_.erase(client);
    silent_.erase(client);
}

} // namespace hibiscusferry::stand_ins
