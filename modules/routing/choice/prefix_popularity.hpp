#ifndef HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_POPULARITY_HPP
#define HIBISCUSFERRY_ROUTING_CHOICE_PREFIX_POPULARITY_HPP

#include <cstdint>
#include <vector>

namespace hibiscusferry
{

/** Estimates which part of this router's recent requests has a prefix.

    Counts in a fixed table indexed by the prefix's hash; all counts are
    halved when the window is full, so that old requests fade. Prefixes that
    share a place are overestimated, which the estimate's users can bear.
*/
class prefix_popularity
{
public:
    static constexpr std::size_t places = 4096;
    /** Requests after which the counts are halved. */
    static constexpr std::uint32_t window = 2048;
    /** Makes estimates from few requests small. */
    static constexpr std::uint32_t prior = 200;

    prefix_popularity();

    /** Counts a request.
        @returns the estimated part of all requests, 0 to 1 */
    double count(std::uint64_t prefix);

private:
    void halve();

    std::vector<std::uint16_t> counts_;
    std::uint32_t total_ = 0;
};

} // namespace hibiscusferry

#endif
