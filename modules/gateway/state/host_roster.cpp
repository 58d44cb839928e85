#include "gateway/state/host_roster.hpp"

#include <nlohmann/json.hpp>

namespace hibiscusferry
{

namespace
{

/** Rows of hosts that are gone for this many time limits are deleted. */
constexpr int forgotten_after_limits = 6;

} // namespace

std::string roster_host::text() const
{
    return nlohmann::json({{"host", host},
                           {"address", address},
                           {"port", port},
                           {"serving", is_serving}})
        .dump();
}

result<roster_host> roster_host::parse(const std::string& text)
{
    try
    {
        const nlohmann::json object = nlohmann::json::parse(text);
        return roster_host{object.at("host").get<std::string>(),
                           object.at("address").get<std::string>(),
                           object.at("port").get<std::uint16_t>(),
                           object.at("serving").get<bool>()};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

host_roster::host_roster(std::chrono::milliseconds time_limit)
    : time_limit_(time_limit)
{
}

void host_roster::set_time_limit(std::chrono::milliseconds time_limit)
{
    time_limit_ = time_limit;
}

void host_roster::take(const std::vector<table_row>& rows, time_point now)
{
    std::map<std::string, entry> entries;
    for (const table_row& row : rows)
    {
        const result<roster_host> host = roster_host::parse(row.value);
        if (!host)
            continue;
        const auto known = entries_.find(row.key);
        const bool is_unchanged =
            known != entries_.end() && known->second.row.version == row.version;
        entries[row.key] = {host.value(), row,
                            is_unchanged ? known->second.changed_at : now};
    }
    entries_ = std::move(entries);
}

std::vector<roster_host> host_roster::live(time_point now) const
{
    std::vector<roster_host> hosts;
    for (const auto& [key, known] : entries_)
    {
        if (now - known.changed_at < time_limit_)
            hosts.push_back(known.host);
    }
    return hosts;
}

std::vector<table_row> host_roster::forgotten(time_point now) const
{
    std::vector<table_row> rows;
    for (const auto& [key, known] : entries_)
    {
        if (now - known.changed_at >= forgotten_after_limits * time_limit_)
            rows.push_back(known.row);
    }
    return rows;
}

} // namespace hibiscusferry
