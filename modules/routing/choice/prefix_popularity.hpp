#ifndef HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_POPULARITY_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_POPULARITY_HPP

#include <cstdint>
#include <vector>

namespace hibiscusferry
{

/** Estimates the fraction of this router's recent requests that have a given
    prefix.

    The counts are kept in a fixed table indexed by the prefix's hash. When the
    window is full, all counts are halved, so that old requests lose weight.
    Prefixes that share a table slot are overestimated; the target selection
    tolerates this.
*/
class prefix_popularity
{
public:
    static constexpr std::size_t slot_count = 4096;
    /** The number of requests after which all counts are halved. */
    static constexpr std::uint32_t window = 2048;
    /** A prior request count that keeps estimates from few requests small. */
    static constexpr std::uint32_t prior = 200;

    prefix_popularity();

    /** Counts a request.

        @returns the estimated fraction of all requests, from 0 to 1
    */
    double count(std::uint64_t prefix);

private:
    void halve();

    std::vector<std::uint16_t> counts_;
    std::uint32_t total_ = 0;
};

} // namespace hibiscusferry

#endif
