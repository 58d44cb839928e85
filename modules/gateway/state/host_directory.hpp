#ifndef HIBISCUSFERRY_GATEWAY_STATE_HOST_DIRECTORY_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_HOST_DIRECTORY_HPP

#include "foundation/foundation.hpp"
#include "gateway/state/peer_directory.hpp"
#include "storage/storage.hpp"
#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Whether a text is an IP address of a single host: neither unspecified nor of
    a group of hosts. */
bool is_host_address(const std::string& text);

/** An entry host as described by its row. */
struct host_record
{
    std::string host;
    std::string availability_zone;
    /** The address for messages from other hosts. */
    std::string address;
    std::uint16_t port = 0;
    /** CPU capacity of the host, in cores. The hosts of a zone with the
       greatest capacity are its preferred relays. */
    double processor_cores = 0;
    /** Whether it serves callers; false while it stops. */
    bool is_serving = true;
    /** Empty in the rows of former versions. */
    std::string region;

    std::string text() const;
    static result<host_record> parse(const std::string& text);
};

/** The entry hosts, from the row that each writes when it starts and stops.

    A host that crashes leaves its row behind. The relay of its availability
    zone detects that it no longer reports, and deletes the row.
*/
class host_directory final : public peer_directory
{
public:
    /** Replaces all hosts by those of the given rows. Hosts whose row version
       is unchanged keep the time of their last report. */
    void set_rows(const std::map<std::string, table_row>& rows, time_point now);

    /** The host of that name, or null. */
    const host_record* find(const std::string& host) const;

    /** The addresses of all hosts. */
    const std::set<std::string>& addresses() const;

    /** The number of hosts that serve callers, over all zones. */
    std::size_t serving_host_count() const;

    /** The serving hosts of a zone in the order of preference as its relay. All
        hosts with the same rows agree on the order. */
    std::vector<std::string> relay_candidates(const std::string& zone) const;

    /** The zones that have serving hosts. */
    std::set<std::string> zones() const;

    /** The regions that the rows of hosts name. */
    const std::set<std::string>& regions() const;

    std::vector<peer_host> serving_hosts() const override;
    std::uint64_t revision() const override;

    // =================================================================
    // Detection of crashed hosts

    /** Starts the detection: sets the time of the last report of every host to
        `now`. To be called when this host becomes the relay of its zone. */
    void reset_report_times(time_point now);

    /** Records that a host has reported. */
    void record_report(const std::string& host, time_point now);

    /** The rows of a zone's hosts that have not reported within the timeout. */
    std::vector<table_row> stale_rows(const std::string& zone,
                                      time_point now) const;

private:
    struct host_entry
    {
        host_record host;
        table_row row;
        time_point received_at{};
    };

    /** By the name of the host. */
    std::map<std::string, host_entry> entries_;
    std::set<std::string> addresses_;
    std::set<std::string> regions_;
    std::uint64_t revision_ = 0;
};

} // namespace hibiscusferry

#endif
