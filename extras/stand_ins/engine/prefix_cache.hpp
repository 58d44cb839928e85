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

    /** Evicts until at most `tokens` are held. */
    void shrink_to(std::size_t tokens);

    bool holds(const std::string& hash) const;
    std::size_t tokens() const;

    /** The changes since the last call. */
    std::vector<cache_change> take_changes();

private:
    using order_of_use = std::list<std::string>;

    /** The most recently used first. */
    order_of_use used_;
    std::unordered_map<std::string, order_of_use::iterator> pieces_;
    std::vector<cache_change> changes_;
};

} // namespace hibiscusferry::stand_ins

#endif
