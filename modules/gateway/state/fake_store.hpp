#ifndef HIBISCUSFERRY_GATEWAY_STATE_FAKE_STORE_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_FAKE_STORE_HPP

#include "gateway/gateway.hpp"

// For tests only.

namespace hibiscusferry
{

/** A store whose responses take some time, or never arrive. */
class fake_feed final : public table_feed
{
public:
    /** Time from the reading of a table to the arrival of the response. */
    static constexpr std::chrono::milliseconds default_response_time{60};

    explicit fake_feed(process_core& core)
        : core_(core)
    {
    }

    result<table_changes> snapshot(const std::string& table,
                                   const table_read_limits& limits,
                                   boost::asio::yield_context yield) override
    {
        record_read(table);
        ++snapshots[table];
        const table_changes all = tables[table];
        return answer(table, all, limits.total_timeout, yield);
    }

    result<table_changes> changes(const std::string& table,
                                  const store_position& after,
                                  std::chrono::milliseconds max_wait,
                                  const table_read_limits& limits,
                                  boost::asio::yield_context yield) override
    {
        const std::chrono::milliseconds timeout =
            max_wait + limits.total_timeout;
        record_read(table);
        if (tables[table].era != after.era)
            return make_error_code(platform_error::history_expired);
        if (is_next_read_silent(table))
            return no_answer(timeout, yield);
        const int silences = silences_;
        const time_point start = core_.now();
        table_changes changed = changes_after(table, after);
        while (changed.rows.empty() && core_.now() < start + max_wait)
        {
            sleep_for(core_.context(), std::chrono::milliseconds(5), yield);
            changed = changes_after(table, after);
        }
        read_at[table] = core_.now();
        if (silences != silences_)
            return no_answer(timeout - (core_.now() - start), yield);
        return answer(table, changed, timeout, yield);
    }

    void forget_connections() override
    {
    }

    /** The reads that are waiting now get no answer. */
    void silence_waiting_reads()
    {
        ++silences_;
    }

    /** Writes a row. */
    void put(const std::string& key, const std::string& value)
    {
        table_changes& table = tables[key.substr(0, key.find('/'))];
        for (auto& [name, changes] : tables)
            changes.version = last_version_ + 1;
        table.version = ++last_version_;
        table.rows.push_back({key, value, last_version_, table.era});
    }

    /** Counts commits to other tables. */
    void advance_to(row_version version)
    {
        last_version_ = version;
        for (auto& [name, changes] : tables)
            changes.version = version;
    }

    /** Enters a new era. */
    void restore()
    {
        for (auto& [name, changes] : tables)
            ++changes.era;
    }

    std::map<std::string, table_changes> tables;
    /** When each table was last asked for, and when the store read it. */
    std::map<std::string, time_point> asked_at;
    std::map<std::string, time_point> read_at;
    std::map<std::string, int> reads;
    std::map<std::string, int> snapshots;
    /** How many of the next reads of each table get no answer. */
    std::map<std::string, int> silent_reads;
    std::chrono::milliseconds response_time = default_response_time;
    bool is_cut_off = false;

private:
    void record_read(const std::string& table)
    {
        asked_at[table] = core_.now();
        ++reads[table];
    }

    bool is_next_read_silent(const std::string& table)
    {
        int& remaining = silent_reads[table];
        if (remaining == 0)
            return false;
        --remaining;
        return true;
    }

    std::error_code no_answer(std::chrono::nanoseconds time_left,
                              boost::asio::yield_context yield)
    {
        sleep_for(core_.context(), time_left, yield);
        return make_error_code(platform_error::not_sent);
    }

    result<table_changes> answer(const std::string& table,
                                 const table_changes& changes,
                                 std::chrono::milliseconds timeout,
                                 boost::asio::yield_context yield)
    {
        if (is_next_read_silent(table))
            return no_answer(timeout, yield);
        sleep_for(core_.context(), response_time, yield);
        if (is_cut_off)
            return make_error_code(platform_error::not_sent);
        return changes;
    }

    table_changes changes_after(const std::string& table,
                                const store_position& after)
    {
        table_changes changed = tables[table];
        changed.rows.clear();
        for (const table_row& row : tables[table].rows)
        {
            if (row.version > after.version)
                changed.rows.push_back(row);
        }
        return changed;
    }

    process_core& core_;
    row_version last_version_ = 0;
    /** How often the reads that were waiting have been silenced. */
    int silences_ = 0;
};

/** A store that commits every transaction. */
class fake_store final : public table_store
{
public:
    explicit fake_store(boost::asio::io_context& context)
        : context_(context)
    {
    }

    void commit(const table_transaction&, std::chrono::milliseconds,
                commit_handler handler) override
    {
        boost::asio::post(context_, [handler] { handler(commit_receipt{}); });
    }

    void read(const std::string&, std::chrono::milliseconds,
              read_handler) override
    {
    }

    void scan(const std::string&, const std::string&, std::size_t,
              std::chrono::milliseconds, scan_handler) override
    {
    }

private:
    boost::asio::io_context& context_;
};

/** Rows whose value is the version of the configuration, or the software
    version of the target. */
class fake_records final : public fleet_records
{
public:
    std::string configuration_key() const override
    {
        return "operator/configuration";
    }

    std::string target_table() const override
    {
        return "targets";
    }

    using fleet_records::read_configuration;

    result<fleet_configuration>
    read_configuration(std::string value, configuration_text&) const override
    {
        if (value == "unreadable")
            return std::make_error_code(std::errc::bad_message);
        fleet_configuration configuration;
        configuration.version = std::stoull(value);
        return configuration;
    }

    std::string without_keys(const std::string& value) const override
    {
        return value;
    }

    result<target_record> read_target(const table_row& row) const override
    {
        target_record record;
        record.id = row.key.substr(row.key.find('/') + 1);
        record.service = "llm";
        record.endpoint = {"192.0.2.1", 8080};
        record.software_version = row.value;
        return record;
    }
};

inline process_settings test_process_settings()
{
    process_settings settings;
    settings.host = "host-1";
    settings.region = "r";
    settings.availability_zone = "a";
    return settings;
}

inline host_settings test_host_settings()
{
    host_settings settings;
    settings.host = "host-1";
    settings.availability_zone = "a";
    settings.address = "127.0.0.1";
    return settings;
}

} // namespace hibiscusferry

#endif
