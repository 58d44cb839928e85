#ifndef HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP

#include "gateway/protocol/fleet_records.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/state/host_directory.hpp"
#include "gateway/state/store_monitor.hpp"
#include "gateway/state/table_reader.hpp"
#include "gateway/state/update_fetcher.hpp"
#include "sharing/sharing.hpp"
#include <memory>

namespace hibiscusferry
{

/** Keeps the fleet_state up to date.

    Replicates three tables: the configuration, the targets and the entry hosts.
    The relay of an availability zone reads them from the table service. It
    reports its position in each table to the other hosts of the zone, which
    fetch missing updates from it. A host whose replica becomes too old, because
    it receives no updates from a relay, reads the table service itself until it
    receives them again.
*/
class state_follower final : public kernel_service
{
public:
    static constexpr const char* name = "state_follower";

    /** The dependencies of a follower; all must outlive it. */
    struct source_set
    {
        table_feed& feed;
        table_store& store;
        const fleet_records& records;
    };

    state_follower(process_core& core, fleet_state& fleet,
                   const source_set& sources);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

    // =================================================================
    // Used by load_exchange

    host_directory& directory();
    store_monitor& monitor();
    const fleet_replicas& replicas() const;

    /** Sets whether this host reads the table service for its zone. */
    void set_relay(bool is_relay);

    /** Applies the positions that another host has reported, and starts to
       fetch its updates if this host is behind. Updates are taken from any
       host, and count as no newer than they are there.
        @param as_of  when the host was asked for its positions
        @returns whether its replicas are recent enough to be followed */
    bool apply_positions(const host_record& relay,
                         const replica_positions& positions, time_point as_of);

    /** Whether a replica of this host is too old for it to be followed. */
    bool is_outdated() const;

    /** Deletes the rows of crashed hosts, unless they have changed. */
    void remove_rows(const std::vector<table_row>& rows);

private:
    void follow(fleet_table table, boost::asio::yield_context yield);
    /** Reads what has changed in a table.
        @param wait  how long the store waits for a change
        @returns whether a change has ended the wait */
    result<bool> read(fleet_table table, std::chrono::milliseconds wait,
                      boost::asio::yield_context yield);
    /** Records that a read has not been answered in time. */
    void record_silence(const unanswered_read& read);
    /** Logs that a newer configuration has been missing for some time. */
    void log_missing_configuration();
    /** Whether a response with changes of this table is arriving from another
        host. Only that of the configuration may be large. */
    bool is_receiving_configuration(fleet_table table) const;
    /** Time until this host should read the table, or check again whether it
        should; not positive if it should now. */
    std::chrono::nanoseconds time_to_store_read(fleet_table table) const;
    std::string store_table(fleet_table table) const;
    propagation_schedule schedule(fleet_table table) const;
    /** How long the next read of a table may wait at the store. */
    std::chrono::milliseconds max_wait(fleet_table table) const;
    std::chrono::milliseconds min_target_read_interval() const;

    /** Applies changes to a replica.
        @returns false for a snapshot that is older than the replica */
    bool apply_update(table_update update, const update_source& source);
    void apply_relay_update(table_update update, const update_source& source);
    /** Records that a replica is complete as of a time. This is not the time at
        which a response was processed, as the process may have stood still
        since the response was sent. */
    void confirm(fleet_table table, time_point as_of);
    /** Logs that a configuration takes longer than the time that the schedule
        leaves for it. */
    void log_large_configuration(std::size_t bytes,
                                 std::chrono::milliseconds transfer_duration,
                                 std::chrono::milliseconds processing_duration);
    /** Logs that rows were left out, unless as many were before. */
    void log_unreadable_rows(fleet_table table, std::size_t rows);
    /** Takes the text of the configuration out of the changes. */
    void apply_configuration(table_changes& changes,
                             const update_source& source);
    void apply_targets(table_changes& changes, const update_source& source);
    void apply_hosts(table_changes& changes, const update_source& source);

    /** Parses the row of a target, which has to be another machine's than one
        of the hosts: what a host sends to itself comes back. */
    result<target_record> read_target(const table_row& row) const;
    bool is_listener_of_host(const http_endpoint& endpoint) const;
    /** Applies the rows of targets whose addresses are, or were, those of
        hosts. */
    void apply_targets_at_hosts(const update_source& source);

    /** The positions after which updates are wanted from other hosts. */
    known_positions wanted_positions() const;
    void serve_peer(http_exchange& exchange, boost::asio::yield_context yield);
    void maintain_own_row();
    void write_own_row();

    process_core& core_;
    fleet_state& fleet_;
    source_set sources_;
    store_monitor monitor_;
    table_reader reader_;
    update_fetcher fetcher_;
    fleet_replicas replicas_;
    host_directory directory_;
    std::unique_ptr<http_server> peer_server_;
    bool is_relay_ = false;
    /** The newest configuration that could be parsed. */
    configuration_text configuration_text_;
    /** Whether the newest configuration could be parsed. */
    bool is_configuration_readable_ = true;
    /** Tables to be read whole, because the changes received from a relay did
        not lead to the same digest. Until then the replica may lack rows. */
    std::array<bool, fleet_table_count> needs_snapshot_{};
    /** Until when updates of each table are not asked for, as a whole table has
        not led to the digest of its sender. */
    std::array<time_point, fleet_table_count> next_fetch_at_{};
    /** When the target rows were last asked for; zero after a failure. */
    time_point targets_read_at_{};
    /** When all targets were last read from the store. */
    time_point targets_verified_at_{};
    /** The largest number of rows of each table that were left out of a
        response of the table service. */
    std::array<std::size_t, fleet_table_count> unreadable_rows_{};
    /** Since when the newer configuration has been missing that was logged. */
    std::optional<time_point> logged_missing_since_;
    bool is_serving_ = true;
    bool is_stopping_ = false;
    std::optional<time_point> own_row_written_at_;
};

} // namespace hibiscusferry

#endif
