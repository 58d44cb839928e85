#ifndef HIBISCUSFERRY_ADMISSION_SHARE_SHARE_LAYOUT_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_SHARE_LAYOUT_HPP

#include "admission/share/share_messages.hpp"
#include <cstdint>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Which hosts sum which limits.

    The live hosts are divided into rows of about the square root of their
    number. Within each row every limit has a relay, by rendezvous hashing;
    the relay of one of the rows is the limit's home. So a workspace that all
    hosts see costs no host more messages than two rows have hosts, and the
    limits that a host reports on share its row's few relays. Up to
    `greatest_single_row` hosts are one row: relay and home are the same.

    All hosts that agree on who is live agree on the layout. Immutable; make
    a new one when membership changes.
*/
class share_layout
{
public:
    static constexpr std::size_t greatest_single_row = 24;

    /** @param hosts  ids of the entry hosts that can be reached
        @param own  this host's id; added if it is missing
        @param listed_hosts  entry hosts in the platform's list */
    share_layout(std::vector<std::string> hosts, const std::string& own,
                 std::size_t listed_hosts);

    /** The host in this host's row to which it reports a limit. */
    const std::string& relay_of(share_key key) const;

    /** The host that knows the demand of a limit over all hosts. */
    const std::string& owner_of(share_key key) const;

    /** Whether more than half of the listed hosts can be reached. A home on
        the smaller side of a partition must not take what it sees for the
        demand over all hosts. */
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
