#ifndef HIBISCUSFERRY_SERVING_PLACING_KEPT_CHAINS_HPP
#define HIBISCUSFERRY_SERVING_PLACING_KEPT_CHAINS_HPP

#include "serving/model/prompt.hpp"
#include <cstdint>
#include <list>
#include <unordered_map>

namespace hibiscusferry
{

/** What this host believes an engine keeps of shared prompt parts: those that
    it had the engine read, the least recently used dropped first, as the
    engine itself does. */
class kept_chains
{
public:
    /** @param capacity_tokens  part of the engine's memory for shared parts */
    explicit kept_chains(double capacity_tokens);

    /** The engine has read or fetched a prompt. */
    void add(const prompt& read);

    /** Tokens of the prompt that the engine keeps, from its beginning. */
    double kept_tokens(const prompt& wanted) const;

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
    std::unordered_map<std::uint64_t, kept_part> parts_;
};

} // namespace hibiscusferry

#endif
