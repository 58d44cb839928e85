#include "net.hpp"

#include <condition_variable>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <thread>

// The platform's store: rows-tx, rows-get and rows-feed. It removes the row of
// a server that has not written it for three heartbeat intervals.

namespace
{

using nlohmann::json;
using namespace review;

constexpr int expiry_ms = 3600;

struct stored_row
{
    std::string value;
    std::uint64_t version = 0;
    bool is_deleted = false;
    std::int64_t written_at = 0;
};

std::mutex lock;
std::condition_variable changed;
std::uint64_t version = 0;
std::map<std::string, std::map<std::string, stored_row>> tables;

json row_json(const std::string& table, const std::string& key,
              const stored_row& row)
{
    json entry{
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.is_deleted)
        entry["tombstone"] = true;
    else
        entry["value"] = row.value;
    return entry;
}

json answer_of(json rows)
{
    return {{"rows", std::move(rows)},
            {"ver", version},
            {"now-ms", now_ms()},
            {"truncated", false}};
}

std::uint64_t version_of(const std::string& table, const std::string& key)
{
    const stored_row& row = tables[table][key];
    return row.is_deleted ? 0 : row.version;
}

int transact(const json& body, json& answer)
{
    const json none = json::array();
    json current = json::array();
    bool is_allowed = true;
    for (const json& entry : body.value("expected-revision", none))
    {
        const std::string table = entry.at("table");
        const std::string key = entry.at("key");
        const std::uint64_t present = version_of(table, key);
        is_allowed = is_allowed && present == entry.at("ver");
        if (present != 0)
            current.push_back(row_json(table, key, tables[table][key]));
    }
    if (!is_allowed)
    {
        answer = answer_of(current);
        return 412;
    }
    ++version;
    for (const json& entry : body.value("set-keys", none))
        tables[entry.at("table")][entry.at("key")] = {entry.at("value"),
                                                      version, false, now_ms()};
    for (const json& entry : body.value("delete", none))
    {
        const std::string key = entry.at("key");
        if (version_of(entry.at("table"), key) != 0)
            tables[entry.at("table")][key] = {"", version, true, now_ms()};
    }
    changed.notify_all();
    answer = answer_of(none);
    return 200;
}

std::string query(const std::string& target, const std::string& name)
{
    const std::size_t begin = target.find_first_of('?');
    std::size_t position = begin;
    while (position != std::string::npos)
    {
        const std::size_t next = target.find('&', position + 1);
        const std::string part = target.substr(
            position + 1, next == std::string::npos ? std::string::npos
                                                    : next - position - 1);
        if (part.compare(0, name.size() + 1, name + "=") == 0)
        {
            std::string value;
            for (std::size_t at = name.size() + 1; at < part.size(); ++at)
            {
                if (part[at] == '%' && at + 2 < part.size())
                {
                    value += static_cast<char>(
                        std::stoi(part.substr(at + 1, 2), nullptr, 16));
                    at += 2;
                }
                else
                    value += part[at];
            }
            return value;
        }
        position = next;
    }
    return {};
}

json rows_of(const std::string& target)
{
    const std::string table = query(target, "table");
    const std::string from = query(target, "from");
    const std::string to = query(target, "to");
    json rows = json::array();
    for (const auto& [key, row] : tables[table])
    {
        if (!row.is_deleted && key >= from && (to.empty() || key < to))
            rows.push_back(row_json(table, key, row));
    }
    return answer_of(rows);
}

json changes_of(const std::string& target, std::unique_lock<std::mutex>& held)
{
    const std::string table = query(target, "table");
    const std::uint64_t after =
        std::strtoull(query(target, "after").c_str(), nullptr, 10);
    const std::int64_t until =
        now_ms() + std::atol(query(target, "wait-ms").c_str());
    for (;;)
    {
        std::map<std::uint64_t, json> changes;
        std::size_t index = 0;
        for (const auto& [key, row] : tables[table])
        {
            if (row.version > after)
                changes[row.version * 1000 + index++] =
                    row_json(table, key, row);
        }
        const std::int64_t left = until - now_ms();
        if (changes.empty() && left > 0)
        {
            changed.wait_for(held, std::chrono::milliseconds(left));
            continue;
        }
        json rows = json::array();
        for (const auto& [order, row] : changes)
            rows.push_back(row);
        return answer_of(rows);
    }
}

int handle(const message_head& head, const std::string& body, json& answer)
{
    std::unique_lock<std::mutex> held(lock);
    const std::size_t space = head.first.find(' ');
    const std::string target = head.first.substr(
        space + 1, head.first.find(' ', space + 1) - space - 1);
    const std::string path = target.substr(0, target.find('?'));
    try
    {
        if (path == "/-/rows-tx")
            return transact(json::parse(body), answer);
        if (path == "/-/rows-get")
            answer = rows_of(target);
        else if (path == "/-/rows-feed")
            answer = changes_of(target, held);
        else
            return 404;
        return 200;
    }
    catch (const std::exception&)
    {
        return 400;
    }
}

void serve(int descriptor)
{
    const int enabled = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled,
                 sizeof enabled);
    std::string buffer;
    message_head head;
    std::string body;
    while (read_message(descriptor, buffer, head, body))
    {
        json answer = json::object();
        const int status = handle(head, body, answer);
        const std::string text = answer.dump();
        if (!send_all(descriptor,
                      "HTTP/1.1 " + std::to_string(status) +
                          " Answer\r\nContent-Type: application/json\r\n"
                          "Content-Length: " +
                          std::to_string(text.size()) + "\r\n\r\n" + text) ||
            head.field("connection") == "close")
            break;
    }
    ::close(descriptor);
}

void expire_servers()
{
    for (;;)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(100));
        const std::lock_guard<std::mutex> held(lock);
        for (auto& [key, row] : tables["servers"])
        {
            if (row.is_deleted || now_ms() - row.written_at < expiry_ms)
                continue;
            row = {"", ++version, true, now_ms()};
            changed.notify_all();
        }
    }
}

} // namespace

int main(int, char** arguments)
{
    const int listener = listen_on(arguments[1]);
    std::thread(expire_servers).detach();
    for (;;)
    {
        const int descriptor =
            ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (descriptor >= 0)
            std::thread(serve, descriptor).detach();
    }
}
