#include "sharing/load/in_flight_load.hpp"

#include "foundation/foundation.hpp"

namespace hibiscusferry
{

in_flight_load& in_flight_load::operator+=(const in_flight_load& other)
{
    requests += other.requests;
    pending_prefill_tokens += other.pending_prefill_tokens;
    kv_tokens += other.kv_tokens;
    hosts_suspecting += other.hosts_suspecting;
    hosts_changing_stage += other.hosts_changing_stage;
    exchanges += other.exchanges;
    delays_ms += other.delays_ms;
    for (std::size_t rank = 0; rank < urgent_rank_count; ++rank)
        urgent_prefill_tokens[rank] += other.urgent_prefill_tokens[rank];
    return *this;
}

double in_flight_load::prefill_tokens_ahead(unsigned rank) const
{
    return rank < urgent_rank_count ? urgent_prefill_tokens[rank]
                                    : pending_prefill_tokens;
}

target_key key_of_target(const std::string& target_id)
{
    return static_cast<target_key>(stable_hash(target_id));
}

incarnation_key key_of_incarnation(const std::string& target_id,
                                   std::chrono::milliseconds started_at)
{
    return combine_hashes(stable_hash(target_id),
                          static_cast<std::uint64_t>(started_at.count()));
}

void add_loads(in_flight_loads& sum, const in_flight_loads& other)
{
    for (const auto& [key, load] : other)
        sum[key] += load;
}

} // namespace hibiscusferry
