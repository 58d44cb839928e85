#ifndef HIBISCUSFERRY_SHARING_REPLICATION_FLEET_REPLICAS_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_FLEET_REPLICAS_HPP

#include "foundation/foundation.hpp"
#include "sharing/replication/row_compressor.hpp"
#include "sharing/replication/table_replica.hpp"
#include <array>
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The tables that every host replicates. */
enum class fleet_table
{
    configuration,
    targets,
    hosts
};

constexpr std::size_t fleet_table_count = 3;

constexpr std::array<fleet_table, fleet_table_count> all_fleet_tables{
    fleet_table::configuration, fleet_table::targets, fleet_table::hosts};

/** "configuration", "targets" or "hosts". */
std::string_view to_text(fleet_table table);

/** The state of a host's replica of a table. */
struct replica_position
{
    /** The replica includes all changes up to this position; version 0 if the
        table was never read. */
    store_position as_of;
    /** table_replica::digest() of the replica. */
    std::uint64_t digest = 0;
    /** Time since the replica was last known to be current. */
    std::chrono::milliseconds age{0};
};

using replica_positions = std::array<replica_position, fleet_table_count>;

/** An update of a table that one host sends to another. */
struct table_update
{
    fleet_table table = fleet_table::configuration;
    /** Whether `changes` holds the whole table. */
    bool is_snapshot = false;
    table_changes changes;
    /** table_replica::digest() of the sender's replica. */
    std::uint64_t digest = 0;
    /** Time since the sender's replica was last known to be current. */
    std::chrono::milliseconds age{0};
    /** Rows that belong to `changes`, but are compressed. */
    std::vector<compressed_row> compressed_rows;
};

/** Converts an age that another host has stated. Any longer age is as long as
    that of a replica that was never current. */
std::chrono::milliseconds to_replica_age(std::uint64_t milliseconds);

/** Encodes updates as CBOR for another host. */
std::string encode_updates(const std::vector<table_update>& updates);

/** Decodes the form that encode_updates() produces.
    @returns std::errc::bad_message if the bytes have another form */
result<std::vector<table_update>> decode_updates(const std::string& bytes);

/** The replicas of the fleet tables at a host, and their ages. */
class fleet_replicas
{
public:
    /** @param target_content_hash  hashes the content of a target's row */
    explicit fleet_replicas(table_replica::content_hash target_content_hash);

    table_replica& replica(fleet_table table);
    const table_replica& replica(fleet_table table) const;

    /** Records that the replica was current at a time. */
    void mark_current(fleet_table table, time_point time);

    /** Time since the replica was last known to be current; longer than any age
        limit if it never was. */
    std::chrono::milliseconds age(fleet_table table, time_point now) const;

    /** The latest era of the store to which any of the replicas belongs. */
    std::uint64_t era() const;

    replica_positions positions(time_point now) const;

    /** The updates for a host whose replicas include all changes up to the
        given positions. */
    std::vector<table_update> changes_since(
        const std::array<store_position, fleet_table_count>& known_positions,
        time_point now) const;

    /** The same with large rows in compressed form, which the other host
        restores with restore_rows(). */
    std::vector<table_update> compressed_changes_since(
        const std::array<store_position, fleet_table_count>& known_positions,
        time_point now);

    /** Moves the compressed rows of an update to its changes. Their bases are
        the rows of this host.
        @returns std::errc::bad_message if one cannot be restored, as this host
                 has another base */
    result<void> restore_rows(table_update& update) const;

private:
    struct replicated_table
    {
        table_replica replica;
        std::optional<time_point> current_at;
    };

    std::array<replicated_table, fleet_table_count> tables_;
    row_compressor compressor_;
};

} // namespace hibiscusferry

#endif
