#include "authority/lease/lease_record.hpp"

#include "authority/errors/authority_error.hpp"
#include <nlohmann/json.hpp>

namespace hibiscusferry
{

bool lease_record::is_released() const
{
    return holder.host.empty();
}

std::string lease_record::text() const
{
    nlohmann::json fields = {{"holder", holder.host},
                             {"incarnation", holder.incarnation},
                             {"fencing_number", fencing_number},
                             {"term_ms", term.count()},
                             {"write_id", write_id}};
    if (is_closed)
        fields["closed"] = true;
    return fields.dump();
}

result<lease_record> lease_record::parse(const std::string& text)
{
    const nlohmann::json fields = nlohmann::json::parse(text, nullptr, false);
    if (!fields.is_object())
        return make_error_code(authority_error::bad_row);
    try
    {
        lease_record record;
        fields.at("holder").get_to(record.holder.host);
        fields.at("incarnation").get_to(record.holder.incarnation);
        fields.at("fencing_number").get_to(record.fencing_number);
        record.term =
            std::chrono::milliseconds(fields.at("term_ms").get<long>());
        fields.at("write_id").get_to(record.write_id);
        record.is_closed = fields.value("closed", false);
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return make_error_code(authority_error::bad_row);
    }
}

std::string lease_key(const std::string& region, const std::string& service)
{
    return "leases/" + region + "/" + service;
}

std::string fence_key(const std::string& region, const std::string& service)
{
    return "fences/" + region + "/" + service;
}

} // namespace hibiscusferry
