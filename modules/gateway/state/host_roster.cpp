#include "gateway/state/host_roster.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <tuple>

namespace hibiscusferry
{

namespace
{

/** Far longer than a restart takes, so that rows do not come and go with
    it. */
constexpr std::chrono::seconds gone_after{20};

} // namespace

std::string roster_host::text() const
{
    return nlohmann::json({{"host", host},
                           {"zone", availability_zone},
                           {"address", address},
                           {"port", port},
                           {"processor_share", processor_cores},
                           {"serving", is_serving}})
        .dump();
}

result<roster_host> roster_host::parse(const std::string& text)
{
    try
    {
        const nlohmann::json object = nlohmann::json::parse(text);
        return roster_host{object.at("host").get<std::string>(),
                           object.at("zone").get<std::string>(),
                           object.at("address").get<std::string>(),
                           object.at("port").get<std::uint16_t>(),
                           object.at("processor_share").get<double>(),
                           object.at("serving").get<bool>()};
    }
    catch (const nlohmann::json::exception&)
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

void host_roster::take(const std::map<std::string, table_row>& rows,
                       time_point now)
{
    std::map<std::string, entry> entries;
    for (const auto& [key, row] : rows)
    {
        const result<roster_host> host = roster_host::parse(row.value);
        if (!host)
            continue;
        const auto known = entries_.find(host.value().host);
        const bool is_unchanged =
            known != entries_.end() && known->second.row.version == row.version;
        entries[host.value().host] = {
            host.value(), row, is_unchanged ? known->second.received_at : now};
    }
    entries_ = std::move(entries);
}

const roster_host* host_roster::find(const std::string& host) const
{
    const auto found = entries_.find(host);
    return found == entries_.end() ? nullptr : &found->second.host;
}

std::size_t host_roster::serving_hosts() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& known) { return known.second.host.is_serving; }));
}

std::vector<std::string> host_roster::line(const std::string& zone) const
{
    using place = std::tuple<double, std::uint64_t, std::string>;
    std::vector<place> places;
    for (const auto& [name, known] : entries_)
    {
        const roster_host& host = known.host;
        if (host.is_serving && host.availability_zone == zone)
            places.emplace_back(-host.processor_cores, stable_hash(name), name);
    }
    std::sort(places.begin(), places.end());
    std::vector<std::string> names;
    names.reserve(places.size());
    for (const place& taken : places)
        names.push_back(std::get<std::string>(taken));
    return names;
}

std::set<std::string> host_roster::zones() const
{
    std::set<std::string> zones;
    for (const auto& [name, known] : entries_)
    {
        if (known.host.is_serving)
            zones.insert(known.host.availability_zone);
    }
    return zones;
}

void host_roster::begin_watch(time_point now)
{
    for (auto& [name, known] : entries_)
        known.received_at = now;
}

void host_roster::heard(const std::string& host, time_point now)
{
    const auto found = entries_.find(host);
    if (found != entries_.end())
        found->second.received_at = now;
}

std::vector<table_row> host_roster::silent(const std::string& zone,
                                           time_point now) const
{
    std::vector<table_row> rows;
    for (const auto& [name, known] : entries_)
    {
        const bool is_silent = now - known.received_at > gone_after;
        if (known.host.availability_zone == zone && is_silent)
            rows.push_back(known.row);
    }
    return rows;
}

} // namespace hibiscusferry
