#include "store.hpp"

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace review
{

namespace
{

constexpr char digits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string encode(const std::string& bytes)
{
    std::string text;
    for (std::size_t index = 0; index < bytes.size(); index += 3)
    {
        std::uint32_t group = 0;
        for (std::size_t offset = 0; offset < 3; ++offset)
            group = group << 8 |
                    (index + offset < bytes.size()
                         ? static_cast<unsigned char>(bytes[index + offset])
                         : 0U);
        for (std::size_t offset = 0; offset < 4; ++offset)
            text += index + offset > bytes.size()
                        ? '='
                        : digits[group >> (18 - 6 * offset) & 63U];
    }
    return text;
}

std::string decode(const std::string& text)
{
    std::string bytes;
    std::uint32_t group = 0;
    int bits = 0;
    for (const char character : text)
    {
        const char* const digit = std::find(digits, digits + 64, character);
        if (digit == digits + 64)
            break;
        group = group << 6 | static_cast<std::uint32_t>(digit - digits);
        bits += 6;
        if (bits < 8)
            continue;
        bits -= 8;
        bytes += static_cast<char>(group >> bits & 255U);
    }
    return bytes;
}

std::string decode_percent(const std::string& text)
{
    std::string decoded;
    for (std::size_t index = 0; index < text.size(); ++index)
    {
        if (text[index] == '%' && index + 2 < text.size())
        {
            decoded += static_cast<char>(
                std::strtoul(text.substr(index + 1, 2).c_str(), nullptr, 16));
            index += 2;
        }
        else
            decoded += text[index];
    }
    return decoded;
}

std::map<std::string, std::string> query_of(const std::string& target)
{
    std::map<std::string, std::string> query;
    std::size_t begin = target.find('?');
    while (begin != std::string::npos)
    {
        const std::size_t end = target.find('&', begin + 1);
        const std::string part = target.substr(
            begin + 1,
            end == std::string::npos ? std::string::npos : end - begin - 1);
        const std::size_t equals = part.find('=');
        if (equals != std::string::npos)
            query[part.substr(0, equals)] =
                decode_percent(part.substr(equals + 1));
        begin = end;
    }
    return query;
}

std::uint64_t number_of(const std::map<std::string, std::string>& query,
                        const std::string& name, std::uint64_t otherwise)
{
    const auto entry = query.find(name);
    return entry == query.end()
               ? otherwise
               : std::strtoull(entry->second.c_str(), nullptr, 10);
}

std::string text_of(const std::map<std::string, std::string>& query,
                    const std::string& name)
{
    const auto entry = query.find(name);
    return entry == query.end() ? std::string() : entry->second;
}

} // namespace

store::store(const std::string& ip)
    : listener_({ip, 0},
                [this](tcp_socket socket) { serve(std::move(socket)); })
{
}

const address& store::at() const
{
    return listener_.at();
}

void store::put(const std::string& table, const std::string& key,
                const std::string& value)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {value, ++version_, false};
    changed_.notify_all();
}

void store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    tables_[table][key] = {"", ++version_, true};
    changed_.notify_all();
}

void store::serve(tcp_socket socket)
{
    std::string buffer;
    http_message request;
    while (read_message(socket, buffer, request, now_ms() + 600000, false))
    {
        sleep_ms(4);
        int status = 200;
        const std::string body = answer(request, status);
        if (!socket.write(response_text(
                status, body, {{"Content-Type", "application/json"}})))
            return;
    }
}

std::string store::answer(const http_message& request, int& status)
{
    const std::string path =
        request.target().substr(0, request.target().find('?'));
    const std::map<std::string, std::string> query = query_of(request.target());
    if (path == "/-/rows-tx")
        return commit(request.body, status);
    if (path == "/-/rows-get")
        return rows(query);
    if (path == "/-/rows-feed")
        return feed(query);
    status = 404;
    return "{}";
}

std::string store::commit(const std::string& body, int& status)
{
    const nlohmann::json call = nlohmann::json::parse(body, nullptr, false);
    if (!call.is_object())
    {
        status = 400;
        return "{}";
    }
    const nlohmann::json none = nlohmann::json::array();
    const std::lock_guard<std::mutex> lock(mutex_);
    nlohmann::json current = none;
    bool holds = true;
    for (const nlohmann::json& entry : call.value("expected-revision", none))
    {
        const row& present = tables_[entry.at("table")][entry.at("key")];
        const bool exists = present.version > 0 && !present.is_deleted;
        const std::uint64_t version = exists ? present.version : 0;
        holds = holds && version == entry.at("ver").get<std::uint64_t>();
        if (exists)
            current.push_back({{"table", entry.at("table")},
                               {"part", ""},
                               {"key", entry.at("key")},
                               {"value", encode(present.value)},
                               {"ver", version}});
    }
    nlohmann::json result{{"ver", version_}, {"now-ms", now_ms()}};
    if (!holds)
    {
        status = 412;
        result["rows"] = current;
        return result.dump();
    }
    ++version_;
    for (const nlohmann::json& entry : call.value("set-keys", none))
        tables_[entry.at("table")][entry.at("key")] = {
            decode(entry.at("value").get<std::string>()), version_, false};
    for (const nlohmann::json& entry : call.value("delete", none))
        tables_[entry.at("table")][entry.at("key")] = {"", version_, true};
    changed_.notify_all();
    result["ver"] = version_;
    return result.dump();
}

std::string store::rows(const std::map<std::string, std::string>& query)
{
    const std::lock_guard<std::mutex> lock(mutex_);
    nlohmann::json found = nlohmann::json::array();
    const std::string table = text_of(query, "table");
    const std::string to = text_of(query, "to");
    const std::uint64_t limit =
        std::min<std::uint64_t>(number_of(query, "limit", 500), 500);
    bool is_truncated = false;
    for (const auto& [key, entry] : tables_[table])
    {
        if (entry.version == 0 || entry.is_deleted ||
            key < text_of(query, "from") || (!to.empty() && key >= to))
            continue;
        is_truncated = found.size() == limit;
        if (is_truncated)
            break;
        found.push_back({{"table", table},
                         {"part", ""},
                         {"key", key},
                         {"value", encode(entry.value)},
                         {"ver", entry.version}});
    }
    return nlohmann::json({{"rows", found},
                           {"truncated", is_truncated},
                           {"ver", version_},
                           {"now-ms", now_ms()}})
        .dump();
}

std::string store::feed(const std::map<std::string, std::string>& query)
{
    const std::string table = text_of(query, "table");
    const std::uint64_t after = number_of(query, "after", 0);
    const auto end = std::chrono::steady_clock::now() +
                     std::chrono::milliseconds(std::min<std::uint64_t>(
                         number_of(query, "wait-ms", 0), 30000));
    std::unique_lock<std::mutex> lock(mutex_);
    std::vector<std::pair<std::uint64_t, std::string>> changes;
    for (;;)
    {
        for (const auto& [key, entry] : tables_[table])
        {
            if (entry.version > after)
                changes.emplace_back(entry.version, key);
        }
        if (!changes.empty() ||
            changed_.wait_until(lock, end) == std::cv_status::timeout)
            break;
    }
    std::sort(changes.begin(), changes.end());
    nlohmann::json found = nlohmann::json::array();
    for (const auto& [version, key] : changes)
    {
        const row& entry = tables_[table][key];
        nlohmann::json object{
            {"table", table}, {"part", ""}, {"key", key}, {"ver", version}};
        if (entry.is_deleted)
            object["tombstone"] = true;
        else
            object["value"] = encode(entry.value);
        found.push_back(object);
    }
    return nlohmann::json(
               {{"rows", found}, {"ver", version_}, {"now-ms", now_ms()}})
        .dump();
}

} // namespace review
