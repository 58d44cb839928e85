#include "configuration/record/document_record.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

/** Serializes JSON; invalid UTF-8 is replaced instead of rejected. */
std::string dump_text(const nlohmann::json& json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/** @returns the JSON object in a row's text; null if it is not an object */
nlohmann::json parse_object(const std::string& text)
{
    nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? json : nlohmann::json();
}

} // namespace

std::string document_record::row_text() const
{
    return dump_text({{"service", service},
                      {"version", version},
                      {"change_id", change_id},
                      {"author", author},
                      {"text", text}});
}

result<document_record> document_record::parse(const std::string& text)
{
    const nlohmann::json json = parse_object(text);
    try
    {
        document_record record;
        record.service = json.at("service").get<std::string>();
        record.version = json.at("version").get<document_version>();
        record.change_id = json.at("change_id").get<std::string>();
        record.author = json.at("author").get<std::string>();
        record.text = json.at("text").get<std::string>();
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(configuration_error::bad_record);
    }
}

std::string document_index::row_text() const
{
    return dump_text({{"revision", revision}, {"versions", versions}});
}

result<document_index> document_index::parse(const std::string& text)
{
    const nlohmann::json json = parse_object(text);
    try
    {
        document_index index;
        index.revision = json.at("revision").get<document_version>();
        index.versions =
            json.at("versions").get<std::map<std::string, document_version>>();
        return index;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(configuration_error::bad_record);
    }
}

std::string document_key(const std::string& service)
{
    return "documents/by_name/" + service;
}

std::string document_change_key(const std::string& service,
                                const std::string& change_id)
{
    return "document_changes/" + service + "/" + change_id;
}

} // namespace hibiscusferry
