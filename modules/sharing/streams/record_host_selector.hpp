#ifndef HIBISCUSFERRY_SHARING_STREAMS_RECORD_HOST_SELECTOR_HPP
#define HIBISCUSFERRY_SHARING_STREAMS_RECORD_HOST_SELECTOR_HPP

#include "foundation/foundation.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Selects the hosts that store the records of a key.

    All hosts with the same list of hosts select the same ones, without an
    exchange of messages. Consecutive choices are in different availability
    zones, in turns of up to three zones. When a host joins or leaves, only the
    choices that concern this host change (rendezvous hashing of the zones, and
    of the hosts of a zone).
*/
class record_host_selector
{
public:
    /** A host that may store records. */
    struct candidate
    {
        std::string host;
        std::string availability_zone;
    };

    /** Replaces the list of hosts. */
    void set_candidates(const std::vector<candidate>& candidates);

    /** The first choices for a key, in order of preference.
        @param count     the maximum number of hosts
        @param excluded  a host that is passed over; empty for none */
    std::vector<std::string> select(std::uint64_t key, std::size_t count,
                                    const std::string& excluded) const;

private:
    struct hashed_host
    {
        std::uint64_t hash = 0;
        std::string host;
    };

    struct zone_hosts
    {
        std::uint64_t hash = 0;
        std::vector<hashed_host> hosts;
    };

    /** The hosts of a zone with the greatest weights for a key. */
    static std::vector<const hashed_host*>
    first_choices(const zone_hosts& zone, std::uint64_t key, std::size_t count,
                  const std::string& excluded);

    std::vector<zone_hosts> zones_;
};

} // namespace hibiscusferry

#endif
