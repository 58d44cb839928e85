#include "gateway/state/host_directory.hpp"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <limits>
#include <nlohmann/json.hpp>
#include <tuple>

namespace hibiscusferry
{

namespace
{

/** Much longer than a restart, so that a restart does not delete the row. */
constexpr std::chrono::seconds report_timeout{20};

std::string host_of_key(const std::string& key)
{
    return key.substr(key.find('/') + 1);
}

/** Whether a number is a port, and not a larger number that ends like one. */
bool is_port(const nlohmann::json& number)
{
    return number.is_number_unsigned() && number.get<std::uint64_t>() > 0 &&
           number.get<std::uint64_t>() <=
               std::numeric_limits<std::uint16_t>::max();
}

} // namespace

bool is_host_address(const std::string& text)
{
    boost::system::error_code error;
    const boost::asio::ip::address address =
        boost::asio::ip::make_address(text, error);
    const bool is_mapped = address.is_v6() && address.to_v6().is_v4_mapped();
    const bool is_broadcast =
        address.is_v4() &&
        address.to_v4() == boost::asio::ip::address_v4::broadcast();
    return !error && !is_mapped && !is_broadcast && !address.is_unspecified() &&
           !address.is_multicast();
}

std::string host_record::text() const
{
    return nlohmann::json({{"host", host},
                           {"zone", availability_zone},
                           {"address", address},
                           {"port", port},
                           {"processor_share", processor_cores},
                           {"serving", is_serving},
                           {"region", region}})
        .dump();
}

result<host_record> host_record::parse(const std::string& text)
{
    try
    {
        const nlohmann::json object = nlohmann::json::parse(text);
        host_record record{object.at("host").get<std::string>(),
                           object.at("zone").get<std::string>(),
                           object.at("address").get<std::string>(),
                           0,
                           object.at("processor_share").get<double>(),
                           object.at("serving").get<bool>()};
        if (!is_port(object.at("port")) || !is_host_address(record.address) ||
            record.processor_cores < 0)
            return std::make_error_code(std::errc::bad_message);
        record.port = object.at("port").get<std::uint16_t>();
        record.region = object.value("region", std::string());
        return record;
    }
    catch (const nlohmann::json::exception&)
    {
        return std::make_error_code(std::errc::bad_message);
    }
}

void host_directory::set_rows(const std::map<std::string, table_row>& rows,
                              time_point now)
{
    std::map<std::string, host_entry> entries;
    for (const auto& [key, row] : rows)
    {
        const result<host_record> host = host_record::parse(row.value);
        // A row of another key would replace that of the host.
        if (!host || host.value().host != host_of_key(key))
            continue;
        const auto previous = entries_.find(host.value().host);
        const bool is_unchanged = previous != entries_.end() &&
                                  previous->second.row.version == row.version;
        entries[host.value().host] = {
            host.value(), row,
            is_unchanged ? previous->second.received_at : now};
    }
    entries_ = std::move(entries);
    addresses_.clear();
    regions_.clear();
    for (const auto& [host, entry] : entries_)
    {
        addresses_.insert(entry.host.address);
        if (!entry.host.region.empty())
            regions_.insert(entry.host.region);
    }
    ++revision_;
}

const host_record* host_directory::find(const std::string& host) const
{
    const auto match = entries_.find(host);
    return match == entries_.end() ? nullptr : &match->second.host;
}

const std::set<std::string>& host_directory::addresses() const
{
    return addresses_;
}

std::size_t host_directory::serving_host_count() const
{
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(),
        [](const auto& entry) { return entry.second.host.is_serving; }));
}

std::vector<std::string>
host_directory::relay_candidates(const std::string& zone) const
{
    using ranked_host = std::tuple<double, std::uint64_t, std::string>;
    std::vector<ranked_host> ranking;
    for (const auto& [name, entry] : entries_)
    {
        const host_record& host = entry.host;
        if (host.is_serving && host.availability_zone == zone)
            ranking.emplace_back(-host.processor_cores, stable_hash(name),
                                 name);
    }
    std::sort(ranking.begin(), ranking.end());
    std::vector<std::string> names;
    names.reserve(ranking.size());
    for (const ranked_host& ranked : ranking)
        names.push_back(std::get<std::string>(ranked));
    return names;
}

std::set<std::string> host_directory::zones() const
{
    std::set<std::string> zone_names;
    for (const auto& [name, entry] : entries_)
    {
        if (entry.host.is_serving)
            zone_names.insert(entry.host.availability_zone);
    }
    return zone_names;
}

const std::set<std::string>& host_directory::regions() const
{
    return regions_;
}

std::vector<peer_host> host_directory::serving_hosts() const
{
    std::vector<peer_host> hosts;
    for (const auto& [name, entry] : entries_)
    {
        const host_record& host = entry.host;
        if (host.is_serving)
            hosts.push_back(
                {name, host.availability_zone, host.address, host.port});
    }
    return hosts;
}

std::uint64_t host_directory::revision() const
{
    return revision_;
}

void host_directory::reset_report_times(time_point now)
{
    for (auto& [name, entry] : entries_)
        entry.received_at = now;
}

void host_directory::record_report(const std::string& host, time_point now)
{
    const auto match = entries_.find(host);
    if (match != entries_.end())
        match->second.received_at = now;
}

std::vector<table_row> host_directory::stale_rows(const std::string& zone,
                                                  time_point now) const
{
    std::vector<table_row> rows;
    for (const auto& [name, entry] : entries_)
    {
        const bool is_stale = now - entry.received_at > report_timeout;
        if (entry.host.availability_zone == zone && is_stale)
            rows.push_back(entry.row);
    }
    return rows;
}

} // namespace hibiscusferry
