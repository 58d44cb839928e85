#include "sharing/load/open_load.hpp"

#include "foundation/foundation.hpp"

namespace hibiscusferry
{

open_load& open_load::operator+=(const open_load& other)
{
    requests += other.requests;
    unread_tokens += other.unread_tokens;
    kv_tokens += other.kv_tokens;
    hosts_without_word += other.hosts_without_word;
    hosts_changing_it += other.hosts_changing_it;
    exchanges += other.exchanges;
    delays_ms += other.delays_ms;
    return *this;
}

target_key key_of_target(const std::string& target_id)
{
    return static_cast<target_key>(stable_hash(target_id));
}

void add_loads(open_loads& sum, const open_loads& other)
{
    for (const auto& [key, load] : other)
        sum[key] += load;
}

} // namespace hibiscusferry
