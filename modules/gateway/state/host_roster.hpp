#ifndef HIBISCUSFERRY_GATEWAY_STATE_HOST_ROSTER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_HOST_ROSTER_HPP

#include "foundation/foundation.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** An entry host as its row says. */
struct roster_host
{
    std::string host;
    std::string availability_zone;
    /** Where it speaks with its peers. */
    std::string address;
    std::uint16_t port = 0;
    /** Its processor, in cores: the greatest of a zone are its first choice
        of a relay. */
    double processor_cores = 0;
    /** Whether it serves callers; false while it stops. */
    bool is_serving = true;

    std::string text() const;
    static result<roster_host> parse(const std::string& text);
};

/** The entry hosts, from the row that each writes when it starts and stops.

    A host that ends without a word leaves its row behind. The relay of its
    availability zone notices that it no longer reports, and removes it.
*/
class host_roster
{
public:
    /** Takes all rows. */
    void take(const std::map<std::string, table_row>& rows, time_point now);

    /** The host of that name, or null. */
    const roster_host* find(const std::string& host) const;

    /** Hosts that serve callers, over all zones. */
    std::size_t serving_hosts() const;

    /** The serving hosts of a zone in the order in which they are chosen as
        its relay; the same on all hosts that know the same rows. */
    std::vector<std::string> line(const std::string& zone) const;

    /** The zones that have serving hosts. */
    std::set<std::string> zones() const;

    // =================================================================
    // Hosts that ended without a word

    /** From now on this host hears those of its zone. */
    void begin_watch(time_point now);

    /** A host has reported. */
    void heard(const std::string& host, time_point now);

    /** Rows of a zone's hosts that were not heard for a while. */
    std::vector<table_row> silent(const std::string& zone,
                                  time_point now) const;

private:
    struct entry
    {
        roster_host host;
        table_row row;
        time_point received_at{};
    };

    /** By host. */
    std::map<std::string, entry> entries_;
};

} // namespace hibiscusferry

#endif
