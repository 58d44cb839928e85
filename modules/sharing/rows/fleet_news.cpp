#include "sharing/rows/fleet_news.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

constexpr std::chrono::milliseconds never_read{1000 * 1000};

std::uint64_t hash_of_value(const table_row& row)
{
    return stable_hash(row.value);
}

std::size_t index_of(news_table table)
{
    return static_cast<std::size_t>(table);
}

} // namespace

std::string_view to_text(news_table table)
{
    constexpr std::array<std::string_view, news_tables> names{
        "configuration", "targets", "hosts"};
    return names[index_of(table)];
}

// ========================================================================
// The form of messages

std::string encode_news(const std::vector<table_news>& news)
{
    nlohmann::json tables = nlohmann::json::array();
    for (const table_news& told : news)
    {
        nlohmann::json rows = nlohmann::json::array();
        for (const table_row& row : told.changes.rows)
            rows.push_back({row.key, row.value, row.version});
        tables.push_back({{"table", index_of(told.table)},
                          {"whole", told.is_whole},
                          {"version", told.changes.version},
                          {"digest", told.digest},
                          {"age_ms", told.age.count()},
                          {"rows", std::move(rows)},
                          {"deleted", told.changes.deleted}});
    }
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(tables);
    return {bytes.begin(), bytes.end()};
}

namespace
{

table_news read_table(const nlohmann::json& object)
{
    table_news told;
    told.table = all_news_tables.at(object.at("table").get<std::size_t>());
    told.is_whole = object.at("whole").get<bool>();
    told.changes.version = object.at("version").get<row_version>();
    told.digest = object.at("digest").get<std::uint64_t>();
    told.age =
        std::chrono::milliseconds(object.at("age_ms").get<std::int64_t>());
    for (const nlohmann::json& row : object.at("rows"))
        told.changes.rows.push_back({row.at(0).get<std::string>(),
                                     row.at(1).get<std::string>(),
                                     row.at(2).get<row_version>()});
    told.changes.deleted = object.at("deleted").get<std::vector<std::string>>();
    return told;
}

} // namespace

result<std::vector<table_news>> decode_news(const std::string& bytes)
{
    try
    {
        const nlohmann::json tables = nlohmann::json::from_cbor(bytes);
        std::vector<table_news> news;
        for (const nlohmann::json& object : tables)
            news.push_back(read_table(object));
        return news;
    }
    catch (const std::exception&) // A wrong type, or a table not known here.
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

// ========================================================================
// The copies

fleet_news::fleet_news(row_mirror::meaning meaning_of_target)
    : tables_{followed_table{row_mirror(hash_of_value), std::nullopt},
              followed_table{row_mirror(std::move(meaning_of_target)),
                             std::nullopt},
              followed_table{row_mirror(hash_of_value), std::nullopt}}
{
}

row_mirror& fleet_news::mirror(news_table table)
{
    return tables_[index_of(table)].mirror;
}

const row_mirror& fleet_news::mirror(news_table table) const
{
    return tables_[index_of(table)].mirror;
}

void fleet_news::set_current(news_table table, time_point at)
{
    std::optional<time_point>& known = tables_[index_of(table)].current_at;
    if (!known || at > *known)
        known = at;
}

std::chrono::milliseconds fleet_news::age(news_table table,
                                          time_point now) const
{
    const std::optional<time_point>& known =
        tables_[index_of(table)].current_at;
    if (!known)
        return never_read;
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - *known);
}

news_marks fleet_news::marks(time_point now) const
{
    news_marks marks;
    for (const news_table table : all_news_tables)
        marks[index_of(table)] = {mirror(table).as_of(), mirror(table).digest(),
                                  age(table, now)};
    return marks;
}

std::vector<table_news>
fleet_news::since(const std::array<row_version, news_tables>& known,
                  time_point now) const
{
    std::vector<table_news> news;
    for (const news_table table : all_news_tables)
    {
        const row_mirror& copy = mirror(table);
        const row_version after = known[index_of(table)];
        if (copy.as_of() == 0 || copy.as_of() <= after)
            continue;
        const std::optional<table_changes> changes = copy.since(after);
        news.push_back({table, !changes, changes ? *changes : copy.all(),
                        copy.digest(), age(table, now)});
    }
    return news;
}

} // namespace hibiscusferry
