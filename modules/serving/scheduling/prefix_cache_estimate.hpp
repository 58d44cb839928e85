#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_PREFIX_CACHE_ESTIMATE_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_PREFIX_CACHE_ESTIMATE_HPP

#include "serving/model/prompt_info.hpp"
#include <cstdint>
#include <list>
#include <unordered_map>

namespace hibiscusferry
{

/** This host's estimate of the prefix blocks in an engine's prefix cache.

    Contains the shared blocks of the prompts that this host had the engine
    prefill or fetch. The least recently used blocks are evicted first, as the
    engine itself does. */
class prefix_cache_estimate
{
public:
    /** Records that the engine has prefilled or fetched a prompt.
        @param kv_capacity_tokens  the memory of the engine */
    void add(const prompt_info& prompt, double kv_capacity_tokens);

    /** Returns the number of leading tokens of the prompt that the engine is
        expected to have cached. */
    double cached_tokens(const prompt_info& prompt) const;

    /** Discards all blocks after a restart of the engine. */
    void clear();

private:
    struct cached_block
    {
        double tokens = 0;
        std::list<std::uint64_t>::iterator position;
    };

    double total_tokens_ = 0;
    /** Keys of the cached blocks, the most recently used first. */
    std::list<std::uint64_t> lru_keys_;
    std::unordered_map<std::uint64_t, cached_block> blocks_;
};

} // namespace hibiscusferry

#endif
