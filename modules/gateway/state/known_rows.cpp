#include "gateway/state/known_rows.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

nlohmann::json to_json(const table_row& row)
{
    return {{"key", row.key}, {"value", row.value}, {"version", row.version}};
}

table_row row_of(const nlohmann::json& object)
{
    return {object.at("key").get<std::string>(),
            object.at("value").get<std::string>(),
            object.at("version").get<row_version>()};
}

} // namespace

std::string known_rows::encode(std::chrono::milliseconds age) const
{
    nlohmann::json object;
    object["age_ms"] = age.count();
    object["configuration"] = to_json(configuration);
    object["targets_version"] = targets_version;
    object["targets"] = nlohmann::json::array();
    for (const auto& [key, row] : targets)
        object["targets"].push_back(to_json(row));
    const std::vector<std::uint8_t> bytes = nlohmann::json::to_cbor(object);
    return {bytes.begin(), bytes.end()};
}

result<peer_news> peer_news::decode(const std::string& bytes)
{
    try
    {
        const nlohmann::json object = nlohmann::json::from_cbor(bytes);
        peer_news news;
        news.age =
            std::chrono::milliseconds(object.at("age_ms").get<std::int64_t>());
        news.rows.configuration = row_of(object.at("configuration"));
        news.rows.targets_version =
            object.at("targets_version").get<row_version>();
        for (const nlohmann::json& entry : object.at("targets"))
        {
            const table_row row = row_of(entry);
            news.rows.targets[row.key] = row;
        }
        return news;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

} // namespace hibiscusferry
