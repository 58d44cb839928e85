#include "sharing/streams/stream_version_store.hpp"

#include <algorithm>
#include <cassert>

namespace hibiscusferry
{

stream_version_store::stream_version_store(std::size_t max_records)
    : max_records_(max_records)
{
    assert(max_records > 0);
}

void stream_version_store::record(stream_key key, const stream_version& value,
                                  time_point now)
{
    remove_expired(now);
    const time_point expires_at = now + value.lifetime;
    if (expires_at <= now)
        return;
    auto& keys = entries_.get<by_key>();
    const auto stored = keys.find(key);
    if (stored != keys.end())
    {
        keys.modify(stored,
                    [&](entry& existing)
                    {
                        existing.expires_at =
                            std::max(existing.expires_at, expires_at);
                        if (existing.version != value.version)
                            existing.is_ambiguous = true;
                    });
        return;
    }
    if (entries_.size() >= max_records_)
        entries_.get<by_age>().pop_front();
    entries_.get<by_age>().push_back({key, expires_at, value.version, false});
}

std::optional<stream_version> stream_version_store::find(stream_key key,
                                                         time_point now) const
{
    const auto& keys = entries_.get<by_key>();
    const auto stored = keys.find(key);
    if (stored == keys.end() || stored->is_ambiguous ||
        stored->expires_at <= now)
        return std::nullopt;
    return stream_version{
        stored->version,
        std::chrono::ceil<std::chrono::milliseconds>(stored->expires_at - now)};
}

std::size_t stream_version_store::size() const
{
    return entries_.size();
}

void stream_version_store::remove_expired(time_point now)
{
    auto& expiries = entries_.get<by_expiry>();
    expiries.erase(expiries.begin(), expiries.upper_bound(now));
}

} // namespace hibiscusferry
