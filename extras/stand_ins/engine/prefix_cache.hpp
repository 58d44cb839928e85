#ifndef HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_PREFIX_CACHE_HPP
#define HIBISCUSFERRY_EXTRAS_STAND_INS_ENGINE_PREFIX_CACHE_HPP

#include <cstddef>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace hibiscusferry::stand_ins
{

/** A change of what the cache holds. */
struct cache_change
{
    std::string prefix_hash;
    bool is_stored = false;
};

/** The KV cache of prompt prefixes: pieces by prefix hash, the least
    recently used evicted first. */
class prefix_cache
{
public:
    /** How many of the leading pieces are held; they count as used. */
    std::size_t match(const std::vector<std::string>& hashes);

    /** Adds pieces. */
    void store(const std::vector<std::string>& hashes);

    /** Evicts until at most `max_tokens` are held. */
    void shrink_to(std::size_t max_tokens);

    bool contains(const std::string& hash) const;
    std::size_t tokens() const;

    /** The changes since the last call. */
    std::vector<cache_change> take_changes();

private:
    using recency_list = std::list<std::string>;

    /** The most recently used first. */
    recency_list recency_;
    std::unordered_map<std::string, recency_list::iterator> blocks_;
    std::vector<cache_change> changes_;
};

} // namespace hibiscusferry::stand_ins

#endif
