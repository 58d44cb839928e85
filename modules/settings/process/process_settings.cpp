#include "settings/process/process_settings.hpp"

#include "settings/toml/checked_table.hpp"
#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <fstream>
#include <sstream>

namespace hibiscusferry
{

namespace
{

constexpr std::size_t min_peer_key_bytes = 16;

bool is_ip_address(const std::string& text)
{
    in6_addr ignored{};
    return inet_pton(AF_INET, text.c_str(), &ignored) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &ignored) == 1;
}

bool is_sha256_hex(const std::string& text)
{
    return text.size() == 64 &&
           std::all_of(text.begin(), text.end(),
                       [](unsigned char digit) {
                           return std::isdigit(digit) != 0 ||
                                  (digit >= 'a' && digit <= 'f');
                       });
}

address_setting read_address(const checked_table& table)
{
    address_setting setting;
    setting.address = table.text("address", "127.0.0.1");
    if (!is_ip_address(setting.address))
        table.note("address", "must be an IP address");
    setting.port =
        static_cast<std::uint16_t>(table.integer("port", 0, 0, 65535));
    return setting;
}

void read_keys(const checked_table& root, process_settings& settings)
{
    settings.peer_key = root.required_text("peer_key");
    if (settings.peer_key.size() < min_peer_key_bytes)
        root.note("peer_key", "must have at least " +
                                  std::to_string(min_peer_key_bytes) +
                                  " bytes");
    settings.operator_key_sha256 = root.texts("operator_key_sha256");
    for (const std::string& digest : settings.operator_key_sha256)
    {
        if (!is_sha256_hex(digest))
            root.note("operator_key_sha256",
                      "must contain SHA-256 digests of 64 lower-case "
                      "hexadecimal digits");
    }
}

void read_durations(const checked_table& root, process_settings& settings)
{
    using std::chrono::milliseconds;
    settings.poll_interval =
        root.milliseconds("poll_interval_ms", settings.poll_interval,
                          milliseconds(100), milliseconds(5000));
    settings.drain_timeout =
        root.milliseconds("drain_limit_ms", settings.drain_timeout,
                          milliseconds(100), milliseconds(3600000));
    settings.drain_grace =
        root.milliseconds("drain_grace_ms", settings.drain_grace,
                          milliseconds(0), milliseconds(60000));
}

} // namespace

process_settings_result read_process_settings(const std::string& text,
                                              const std::string& file_name)
{
    const checked_table root = checked_table::parse(text, file_name);
    process_settings settings;
    settings.host = root.required_text("host");
    settings.region = root.required_text("region");
    settings.availability_zone = root.required_text("availability_zone");
    settings.callers = read_address(root.table("callers"));
    settings.admin = read_address(root.table("admin"));
    settings.peers = read_address(root.table("peers"));
    settings.table_service = read_address(root.table("table_service"));
    for (const checked_table& controller : root.tables("controllers"))
        settings.controllers.push_back(read_address(controller));
    read_keys(root, settings);
    read_durations(root, settings);
    settings.timeline_events = static_cast<std::uint32_t>(
        root.integer("timeline_events", settings.timeline_events, 16, 1 << 20));

    process_settings_result parsed_settings;
    parsed_settings.problems = root.finish();
    if (parsed_settings.problems.empty())
        parsed_settings.settings = settings;
    return parsed_settings;
}

process_settings_result load_process_settings(const std::string& path)
{
    const std::ifstream file(path);
    if (!file)
        return {std::nullopt, {{path, 0, "cannot be read"}}};
    std::ostringstream text;
    text << file.rdbuf();
    return read_process_settings(text.str(), path);
}

} // namespace hibiscusferry
