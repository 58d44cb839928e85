#ifndef HIBISCUSFERRY_SHARING_REPLICATION_FLEET_REPLICAS_HPP
#define HIBISCUSFERRY_SHARING_REPLICATION_FLEET_REPLICAS_HPP

#include "foundation/foundation.hpp"
#include "sharing/replication/table_replica.hpp"
#include <array>
#include <chrono>
#include <optional>
#include <string>

namespace hibiscusferry
{

/** The tables that every host follows. */
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

/** How far a host has read a table. */
struct replica_position
{
    /** It knows all changes up to this version; 0 if it never read it. */
    row_version as_of = 0;
    /** table_replica::digest() of its copy. */
    std::uint64_t digest = 0;
    /** How long ago that was the newest state. */
    std::chrono::milliseconds age{0};
};

using replica_positions = std::array<replica_position, fleet_table_count>;

/** What a host tells another one of a table. */
struct table_update
{
    fleet_table table = fleet_table::configuration;
    /** `changes` holds the whole table. */
    bool is_whole = false;
    table_changes changes;
    /** table_replica::digest() of the teller's copy. */
    std::uint64_t digest = 0;
    std::chrono::milliseconds age{0};
};

/** The form in which news pass between hosts: CBOR. */
std::string encode_updates(const std::vector<table_update>& updates);

/** std::errc::bad_message if the bytes are not of that form. */
result<std::vector<table_update>> decode_updates(const std::string& bytes);

/** A host's copies of the tables that all hosts follow, and how old they
    are. */
class fleet_replicas
{
public:
    /** @param meaning_of_target  a hash of what the row of a target means */
    explicit fleet_replicas(table_replica::content_hash meaning_of_target);

    table_replica& replica(fleet_table table);
    const table_replica& replica(fleet_table table) const;

    /** The copy was the newest state at that time. */
    void set_current(fleet_table table, time_point at);

    /** Time since the copy was last known to be the newest state; longer than
        any limit if it never was. */
    std::chrono::milliseconds age(fleet_table table, time_point now) const;

    replica_positions positions(time_point now) const;

    /** What a host that knows the tables up to these versions has to be
        told. */
    std::vector<table_update>
    since(const std::array<row_version, fleet_table_count>& known,
          time_point now) const;

private:
    struct followed_table
    {
        table_replica replica;
        std::optional<time_point> current_at;
    };

    std::array<followed_table, fleet_table_count> tables_;
};

} // namespace hibiscusferry

#endif
