#ifndef HIBISCUSFERRY_REVIEW_STAND_IN_DEPLOYMENT_HPP
#define HIBISCUSFERRY_REVIEW_STAND_IN_DEPLOYMENT_HPP

#include "wire.hpp"
#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <tuple>
#include <vector>

// A small deployment: the platform's store, servers, and processes of the
// system. They keep to the users' pages PROTOCOL.md and DEPLOY.md.

namespace review
{

using json = nlohmann::json;

/** Writes record.txt: what was sent, answered and run, with the time. */
class event_record
{
public:
    explicit event_record(const std::string& path);
    ~event_record();
    event_record(const event_record&) = delete;
    event_record& operator=(const event_record&) = delete;

    void add(const std::string& line);
    /** Also writes the line to standard output. */
    void say(const std::string& line);
    /** Milliseconds since the record was begun. */
    std::int64_t now_ms() const;

private:
    std::mutex mutex_;
    std::FILE* file_;
    steady_clock::time_point start_ = steady_clock::now();
};

/** The platform's metadata store: the calls for rows. */
class platform_store
{
public:
    explicit platform_store(const std::string& address);

    std::uint16_t port() const;
    /** Writes a row as the operator or a server does. */
    void put(const std::string& table, const std::string& key,
             const std::string& value);
    void remove(const std::string& table, const std::string& key);

private:
    struct row
    {
        std::string value;
        std::uint64_t version = 0;
        bool is_deleted = false;
    };
    using row_key = std::tuple<std::string, std::string, std::string>;

    void serve(connection& peer);
    std::string answer(const message_head& head, const std::string& body,
                       int& status);
    json rows_get(const message_head& head);
    json rows_feed(const message_head& head);
    json rows_tx(const json& call, int& status);
    json row_json(const row_key& key, const row& entry) const;
    json with_version(json rows) const;
    static row_key key_of(const json& entry);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_;
    std::uint64_t version_ = 1;
    steady_clock::time_point start_ = steady_clock::now();
    std::unique_ptr<listener> listener_;
};

/** How a server works. */
struct server_settings
{
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    unsigned slots = 6;
    milliseconds work{60};
    /** How fast it reads the bodies of requests; 0 is as fast as it can. */
    double read_bytes_per_s = 0;
    std::size_t response_bytes = 800;
    /** If not 0, responses are streams of so many events. */
    int events = 0;
    milliseconds event_gap{100};
};

/** A plain application server, which registers itself in the store. */
class application_server
{
public:
    application_server(const server_settings& settings, platform_store& store,
                       event_record& record);
    ~application_server();
    application_server(const application_server&) = delete;
    application_server& operator=(const application_server&) = delete;

    /** Ids of the requests that began to run, and how often each did. */
    std::map<std::string, int> runs();
    /** Whether the head of a request has arrived. */
    bool has_received(const std::string& id);
    /** Changes how fast it reads from now on. */
    void set_read_rate(double bytes_per_s);

private:
    void serve(connection& peer);
    /** Writes the response to a request that has run. */
    bool respond(connection& peer, const std::string& id, int running);
    bool respond_with_stream(connection& peer, const std::string& head);
    void beat();

    server_settings settings_;
    platform_store& store_;
    event_record& record_;
    std::mutex mutex_;
    std::map<std::string, int> runs_;
    std::set<std::string> received_;
    std::atomic<double> read_bytes_per_s_;
    std::atomic<int> running_{0};
    std::atomic<std::uint64_t> sequence_{0};
    std::atomic<bool> is_stopping_{false};
    std::unique_ptr<listener> listener_;
    std::thread beats_;
};

/** A process of the system on a machine of its own. */
class system_process
{
public:
    /** @param settings  the settings file as DEPLOY.md shows it */
    system_process(const std::string& folder, json settings,
                   event_record& record);
    ~system_process();
    system_process(const system_process&) = delete;
    system_process& operator=(const system_process&) = delete;

    bool start();
    /** Writes the settings file anew, with another value of a bound. */
    void change_bound(const std::string& name, const json& value);
    void signal(int number);
    /** Sends SIGTERM, and SIGKILL after `grace`; waits for the end. */
    void stop(milliseconds grace);
    /** @returns whether the process runs; collects its end if not */
    bool is_running();
    bool wait_until_ready(milliseconds timeout);
    /** Asks for readiness as the platform does. */
    bool is_ready();
    /** Memory of its own that the process occupies, without the pages of the
        program and its libraries; 0 if it does not run. */
    double resident_megabytes();
    const std::string& address() const;
    std::uint16_t front_port() const;
    pid_t pid() const;

private:
    void write_settings();

    std::string folder_;
    json settings_;
    std::string address_;
    std::uint16_t front_port_ = 0;
    std::uint16_t ready_port_ = 0;
    event_record& record_;
    std::atomic<pid_t> pid_{-1};
};

/** A loopback network that is unlikely to be in use: "127.X.Y.". */
std::string loopback_network();

/** Settings of a `front` machine.
    @param host  the last number of its address
    @param zone  its availability zone */
json machine_settings(const std::string& network, int host,
                      const std::string& zone, std::uint16_t store_port);

/** A new temporary folder, removed by finish(). */
std::string temporary_folder();

/** Ends this process, and with it the threads of the stand-ins. All processes
    of the system must have ended. */
[[noreturn]] void finish(int exit_code, const std::string& folder);

/** Whether the disruption is played: TROUBLE is not 0. */
bool has_trouble();

/** A new request id. */
std::string next_request_id();

} // namespace review

#endif
