#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_LAYOUT_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_LAYOUT_HPP

#include "admission/share/share_messages.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Determines which host aggregates the usage of which limit.

    The live hosts are divided into rows whose size is about the square root of
    the number of hosts. Within each row, rendezvous hashing selects a relay
    for every limit; the relay in one of the rows is the owner of the limit. A
    workspace that sends requests to all hosts therefore costs no host more
    messages than the number of hosts in two rows, and the reports of a host go
    to the few relays of its row. Up to `max_single_row_hosts` hosts form a
    single row, in which the relay is also the owner.

    Hosts with the same view of the live hosts have the same layout. The layout
    is immutable; create a new one when the membership changes.
*/
class share_layout
{
public:
    static constexpr std::size_t max_single_row_hosts = 24;

    /** @param hosts  ids of the reachable entry hosts
        @param own  this host's id; added to `hosts` if it is missing
        @param listed_hosts  number of entry hosts in the platform's list */
    share_layout(std::vector<std::string> hosts, const std::string& own,
                 std::size_t listed_hosts);

    /** Returns the host in this host's row to which the usage of a limit is
        reported. */
    const std::string& relay_of(share_key key) const;

    /** Returns the host that aggregates the usage of a limit over all hosts. */
    const std::string& owner_of(share_key key) const;

    /** Returns whether more than half of the listed hosts are reachable. An
        owner on the smaller side of a network partition must not report its
        partial sum as the demand over all hosts. */
    bool has_majority() const;

private:
    struct member
    {
        std::string id;
        std::uint64_t hash = 0;
    };

    const std::string& relay_in(std::size_t row, share_key key) const;

    std::vector<std::vector<member>> rows_;
    std::vector<std::size_t> used_rows_;
    std::size_t own_row_ = 0;
    bool has_majority_ = false;
};

} // namespace hibiscusferry

#endif
