#ifndef HIBISCUSFERRY_SERVING_SCHEDULING_PREFIX_CACHE_ESTIMATE_HPP
#define HIBISCUSFERRY_SERVING_SCHEDULING_PREFIX_CACHE_ESTIMATE_HPP

#include "serving/model/prompt_info.hpp"
#include <cstdint>
#include <list>
#include <unordered_map>

namespace hibiscusferry
{

/** What this host believes an engine keeps of shared prompt parts: those that
    it had the engine read, the least recently used dropped first, as the
    engine itself does. */
class prefix_cache_estimate
{
public:
    /** @param capacity_tokens  part of the engine's memory for shared parts */
    explicit prefix_cache_estimate(double capacity_tokens);

    /** The engine has read or fetched a prompt. */
    void add(const prompt_info& read);

    /** Tokens of the prompt that the engine keeps, from its beginning. */
    double cached_tokens(const prompt_info& prompt) const;

    /** The engine has restarted. */
    void clear();

private:
    struct kept_part
    {
        double tokens = 0;
        std::list<std::uint64_t>::iterator place;
    };

    double capacity_tokens_;
    double total_tokens_ = 0;
    /** Chain keys, the most recently used first. */
    std::list<std::uint64_t> recent_;
    std::unordered_map<std::uint64_t, kept_part> blocks_;
};

} // namespace hibiscusferry

#endif
