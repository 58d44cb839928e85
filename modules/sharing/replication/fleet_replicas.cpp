#include "sharing/replication/fleet_replicas.hpp"

#include "sharing/message/nested_cbor.hpp"
#include "sharing/message/text_delta.hpp"
#include <algorithm>
#include <stdexcept>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds age_if_never_read{1000 * 1000};

std::uint64_t hash_of_value(const table_row& row)
{
    return text_digest(row.value);
}

std::size_t index_of(fleet_table table)
{
    return static_cast<std::size_t>(table);
}

} // namespace

std::string_view to_text(fleet_table table)
{
    constexpr std::array<std::string_view, fleet_table_count> names{
        "configuration", "targets", "hosts"};
    return names[index_of(table)];
}

std::chrono::milliseconds to_replica_age(std::uint64_t milliseconds)
{
    return std::chrono::milliseconds(
        std::min<std::uint64_t>(milliseconds, age_if_never_read.count()));
}

// ========================================================================
// Encoding

std::string encode_updates(const std::vector<table_update>& updates)
{
    nlohmann::json tables = nlohmann::json::array();
    for (const table_update& update : updates)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const table_row& row : update.changes.rows)
            rows.push_back({row.key, row.value, row.version});
        nlohmann::json compressed = nlohmann::json::array();
        for (const compressed_row& row : update.compressed_rows)
            compressed.push_back(
                {row.key, row.version, row.has_base, row.digest, row.bytes});
        tables.push_back(
            {{"table", index_of(update.table)},
             {"whole", update.is_snapshot},
             {"era", update.changes.era},
             {"version", update.changes.version},
             {"digest", update.digest},
             {"age_ms", std::max<std::int64_t>(update.age.count(), 0)},
             {"rows", std::move(rows)},
             {"compressed", std::move(compressed)},
             {"deleted", update.changes.deleted}});
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(tables);
    return {bytes.begin(), bytes.end()};
}

namespace
{

/** A member that is a non-negative integer; throws for any other value. */
std::uint64_t number_of(const nlohmann::json& object, const char* name)
{
    const nlohmann::json& number = object.at(name);
    if (!number.is_number_unsigned())
        throw std::invalid_argument("not a non-negative integer");
    return number.get<std::uint64_t>();
}

/** An element that is a non-negative integer; throws for any other value. */
std::uint64_t unsigned_at(const nlohmann::json& array, std::size_t index)
{
    const nlohmann::json& number = array.at(index);
    if (!number.is_number_unsigned())
        throw std::invalid_argument("not a non-negative integer");
    return number.get<std::uint64_t>();
}

compressed_row decode_compressed_row(const nlohmann::json& row)
{
    return {row.at(0).get<std::string>(), unsigned_at(row, 1),
            row.at(2).get<bool>(), unsigned_at(row, 3),
            row.at(4).get<std::string>()};
}

table_update decode_table_update(const nlohmann::json& object)
{
    table_update update;
    update.table = all_fleet_tables.at(number_of(object, "table"));
    update.is_snapshot = object.at("whole").get<bool>();
    update.changes.era = number_of(object, "era");
    update.changes.version = number_of(object, "version");
    update.digest = number_of(object, "digest");
    update.age = to_replica_age(number_of(object, "age_ms"));
    for (const nlohmann::json& row : object.at("rows"))
        update.changes.rows.push_back({row.at(0).get<std::string>(),
                                       row.at(1).get<std::string>(),
                                       unsigned_at(row, 2)});
    // Hosts of former versions send all rows in the list above.
    if (object.contains("compressed"))
    {
        for (const nlohmann::json& row : object.at("compressed"))
            update.compressed_rows.push_back(decode_compressed_row(row));
    }
    update.changes.deleted =
        object.at("deleted").get<std::vector<std::string>>();
    return update;
}

} // namespace

result<std::vector<table_update>> decode_updates(const std::string& bytes)
{
    const result<nlohmann::json> tables = read_nested_cbor(bytes);
    if (!tables)
        return tables.error();
    try
    {
        std::vector<table_update> updates;
        for (const nlohmann::json& object : tables.value())
            updates.push_back(decode_table_update(object));
        return updates;
    }
    catch (const std::exception&) // A wrong type or an unknown table.
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

// ========================================================================
// Replicas

fleet_replicas::fleet_replicas(table_replica::content_hash target_content_hash)
    : tables_{replicated_table{table_replica(hash_of_value), std::nullopt},
              replicated_table{table_replica(std::move(target_content_hash)),
                               std::nullopt},
              replicated_table{table_replica(hash_of_value), std::nullopt}}
{
}

table_replica& fleet_replicas::replica(fleet_table table)
{
    return tables_[index_of(table)].replica;
}

const table_replica& fleet_replicas::replica(fleet_table table) const
{
    return tables_[index_of(table)].replica;
}

void fleet_replicas::mark_current(fleet_table table, time_point time)
{
    std::optional<time_point>& current_at = tables_[index_of(table)].current_at;
    if (!current_at || time > *current_at)
        current_at = time;
}

std::chrono::milliseconds fleet_replicas::age(fleet_table table,
                                              time_point now) const
{
    const std::optional<time_point>& current_at =
        tables_[index_of(table)].current_at;
    if (!current_at)
        return age_if_never_read;
    return std::chrono::ceil<std::chrono::milliseconds>(now - *current_at);
}

std::uint64_t fleet_replicas::era() const
{
    std::uint64_t latest = 0;
    for (const replicated_table& table : tables_)
        latest = std::max(latest, table.replica.as_of().era);
    return latest;
}

replica_positions fleet_replicas::positions(time_point now) const
{
    replica_positions positions;
    for (const fleet_table table : all_fleet_tables)
        positions[index_of(table)] = {replica(table).as_of(),
                                      replica(table).digest(), age(table, now)};
    return positions;
}

std::vector<table_update> fleet_replicas::changes_since(
    const std::array<store_position, fleet_table_count>& known_positions,
    time_point now) const
{
    std::vector<table_update> updates;
    for (const fleet_table table : all_fleet_tables)
    {
        const table_replica& local_replica = replica(table);
        const store_position& after = known_positions[index_of(table)];
        const bool has_changes =
            local_replica.as_of().version > 0 && after < local_replica.as_of();
        if (!has_changes)
            continue;
        const std::optional<table_changes> changes =
            local_replica.changes_since(after);
        updates.push_back({table, !changes,
                           changes ? *changes : local_replica.snapshot(),
                           local_replica.digest(), age(table, now)});
    }
    return updates;
}

std::vector<table_update> fleet_replicas::compressed_changes_since(
    const std::array<store_position, fleet_table_count>& known_positions,
    time_point now)
{
    std::vector<table_update> updates;
    for (const fleet_table table : all_fleet_tables)
    {
        const table_replica& local_replica = replica(table);
        const store_position& after = known_positions[index_of(table)];
        const bool has_changes =
            local_replica.as_of().version > 0 && after < local_replica.as_of();
        if (!has_changes)
            continue;
        std::optional<table_replica::row_selection> selection =
            local_replica.select_since(after);
        table_update update;
        update.table = table;
        update.is_snapshot = !selection;
        update.digest = local_replica.digest();
        update.age = age(table, now);
        update.changes.version = local_replica.as_of().version;
        update.changes.era = local_replica.as_of().era;
        if (!selection)
            selection = local_replica.select_all();
        update.changes.deleted = std::move(selection->deleted);
        for (const table_row* const row : selection->rows)
        {
            const compressed_row* const compressed =
                row->value.size() < former_rows::min_value_bytes
                    ? nullptr
                    : compressor_.compress(*row, update.is_snapshot
                                                     ? nullptr
                                                     : local_replica.former_row(
                                                           row->key, after));
            if (compressed != nullptr)
                update.compressed_rows.push_back(*compressed);
            else
                update.changes.rows.push_back(*row);
        }
        updates.push_back(std::move(update));
    }
    return updates;
}

result<void> fleet_replicas::restore_rows(table_update& update) const
{
    const std::map<std::string, table_row>& rows = replica(update.table).rows();
    for (const compressed_row& compressed : update.compressed_rows)
    {
        const auto base = rows.find(compressed.key);
        result<table_row> row = restore_row(
            compressed, base == rows.end() ? nullptr : &base->second.value);
        if (!row)
            return row.error();
        update.changes.rows.push_back(std::move(row.value()));
    }
    update.compressed_rows.clear();
    return outcome::success();
}

} // namespace hibiscusferry
