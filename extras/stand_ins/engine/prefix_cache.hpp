#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_PREFIX_CACHE_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_PREFIX_CACHE_HPP

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A block that was stored in or evicted from the cache. */
struct cache_change
{
    std::string prefix_hash;
    bool is_stored = false;
};

/** A KV cache of prompt prefixes with least-recently-used eviction. Blocks are
    identified by their prefix hash. */
class prefix_cache
{
public:
    /** Returns the number of leading blocks that are cached and marks them as
        recently used. */
    std::size_t match(const std::vector<std::string>& hashes);

    /** Stores blocks. */
    void store(const std::vector<std::string>& hashes);

    /** Evicts blocks until at most `max_tokens` tokens are cached. */
    void shrink_to(std::size_t max_tokens);

    bool contains(const std::string& hash) const;
    std::size_t tokens() const;

    /** Returns the changes since the previous call. */
    std::vector<cache_change> take_changes();

private:
    using recency_list = std::list<std::string>;

    /** Ordered from the most to the least recently used block. */
    recency_list recency_;
    std::unordered_map<std::string, recency_list::iterator> blocks_;
    std::vector<cache_change> changes_;
};

} // namespace hibiscusferry::stand_ins

#endif
