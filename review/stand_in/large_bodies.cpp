#include "deployment.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <string>

// Clients upload bodies within `max-body-bytes`. The trouble is a burst: for
// some seconds 1.8 times as many of them come. The platform kills a process
// that exceeds `memory-mb`, and starts it again.

namespace
{

using namespace review;

constexpr double uploads_per_s = 13;
/** The strongest of the bursts of 14 s in the site file. */
constexpr double burst_factor = 1.8;
constexpr milliseconds burst_from{10000};
constexpr milliseconds burst_length{14000};
constexpr milliseconds traffic_length{34000};
/** The longest work of `order-confirm` in the site file. */
constexpr milliseconds server_work{110};
/** Below the limit of the configuration, 4194304. */
constexpr std::size_t body_bytes = 4000000;
/** A client's own link: the body takes 2.7 s, less than `header-timeout-ms`. */
constexpr double client_bytes_per_s = 1500000;
constexpr double memory_limit_mb = 260;
/** LOST: "more than three times". */
constexpr int allowed_lost = 3;

struct totals
{
    std::atomic<int> sent{0};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::atomic<int> unanswered{0};
    std::mutex mutex;
    std::vector<std::string> unanswered_ids;
};

json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "confirm"},
               {"hostname", "orders.example"},
               {"prefix", "/confirm/"},
               {"kind", "non_idempotent"},
               {"timeout-ms", 4000},
               {"target-latency-ms", 300},
               {"priority", 2},
               {"service", "order-desk"},
               {"max-attempts", 1}},
              {{"name", "lookup"},
               {"hostname", "orders.example"},
               {"prefix", "/lookup/"},
               {"kind", "idempotent"},
               {"timeout-ms", 1000},
               {"target-latency-ms", 100},
               {"priority", 2},
               {"service", "order-desk"},
               {"max-attempts", 2}}}},
            {"services",
             {{{"name", "order-desk"},
               {"health-path", "/health"},
               {"max-connections", 96},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}}};
}

std::string request_text(const std::string& method, const std::string& path,
                         const std::string& id, const std::string& deadline,
                         std::size_t bytes)
{
    return method + " " + path +
           " HTTP/1.1\r\nHost: orders.example\r\nX-Request-Id: " + id +
           "\r\nX-Deadline-Ms: " + deadline +
           "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/** A client that looks something up and then confirms an order on the same
    connection. */
void run_client(system_process& machine, const std::string& body, totals& sum,
                event_record& record)
{
    const std::unique_ptr<connection> peer = connection::open(
        machine.address(), machine.front_port(), milliseconds(1000));
    if (!peer)
        return;
    const std::string lookup = next_request_id();
    if (!peer->write(request_text("GET", "/lookup/2f", lookup, "1000", 0)))
        return;
    const std::optional<message_head> first =
        peer->read_head(milliseconds(2000));
    if (!first || !peer->read_body(*first, milliseconds(1000)) ||
        first->value("Connection") == "close")
        return;

    const std::string id = next_request_id();
    const bool is_sent = peer->write(request_text("POST", "/confirm/2f", id,
                                                  "4000", body.size())) &&
                         peer->write(body, client_bytes_per_s);
    if (!is_sent)
    {
        record.add("client " + id + " cannot send its request");
        return;
    }
    ++sum.sent;
    record.add("client " + id + " has sent its request");
    const std::optional<message_head> head =
        peer->read_head(milliseconds(6000));
    const bool is_whole =
        head && peer->read_body(*head, milliseconds(2000)).has_value();
    if (!is_whole)
    {
        ++sum.unanswered;
        record.add("client " + id + " gets no answer; the connection is " +
                   (peer->is_closed_by_peer() ? "closed" : "open"));
        const std::lock_guard<std::mutex> lock(sum.mutex);
        sum.unanswered_ids.push_back(id);
        return;
    }
    record.add("client " + id + " is answered " +
               std::to_string(head->status()));
    const int status = head->status();
    ++(status == 200 ? sum.answered : status == 503 ? sum.refused : sum.failed);
}

/** Kills the process when it exceeds its memory, and starts it again, as the
    platform does. */
class platform_guard
{
public:
    platform_guard(system_process& machine, event_record& record)
        : thread_([this, &machine, &record] { watch(machine, record); })
    {
    }

    ~platform_guard()
    {
        is_stopping_ = true;
        thread_.join();
    }

    double peak_mb() const
    {
        return peak_mb_;
    }

    int kills() const
    {
        return kills_;
    }

private:
    void watch(system_process& machine, event_record& record)
    {
        while (!is_stopping_)
        {
            std::this_thread::sleep_for(milliseconds(10));
            const double used_mb = machine.resident_megabytes();
            peak_mb_ = std::max<double>(peak_mb_, used_mb);
            if (used_mb <= memory_limit_mb)
                continue;
            record.say("the process uses " + std::to_string(used_mb) +
                       " MB of " + std::to_string(memory_limit_mb) +
                       ": the platform kills it");
            ++kills_;
            machine.signal(SIGKILL);
            while (machine.is_running())
                std::this_thread::sleep_for(milliseconds(5));
            std::this_thread::sleep_for(milliseconds(500));
            machine.start();
        }
    }

    std::atomic<bool> is_stopping_{false};
    std::atomic<double> peak_mb_{0};
    std::atomic<int> kills_{0};
    std::thread thread_;
};

[[noreturn]] void run(const std::string& record_path)
{
    const std::string folder = temporary_folder();
    event_record record(record_path);
    record.say(has_trouble() ? "with the burst" : "without the burst");
    const std::string network = loopback_network();
    platform_store store(network + "1");
    store.put("op", "config", configuration().dump());
    std::vector<std::unique_ptr<application_server>> servers;
    for (int index = 0; index < 3; ++index)
    {
        server_settings settings;
        settings.id = "i-" + std::to_string(index);
        settings.service = "order-desk";
        settings.address = network + std::to_string(20 + index);
        settings.zone = index == 0 ? "zone-a" : "zone-b";
        settings.work = server_work;
        servers.push_back(
            std::make_unique<application_server>(settings, store, record));
    }
    system_process machine(
        folder, machine_settings(network, 10, "zone-a", store.port()), record);
    if (!machine.start() || !machine.wait_until_ready(milliseconds(10000)))
    {
        record.say("the process is not ready");
        machine.stop(milliseconds(0));
        finish(2, folder);
    }
    // Longer than `stable-window-ms`: the machine is in touch.
    std::this_thread::sleep_for(milliseconds(4000));

    const std::string body(body_bytes, 'b');
    totals sum;
    std::vector<std::thread> clients;
    std::unique_ptr<platform_guard> guard =
        std::make_unique<platform_guard>(machine, record);
    const steady_clock::time_point start = steady_clock::now();
    double due_ms = 0;
    while (due_ms < static_cast<double>(traffic_length.count()))
    {
        const bool is_burst =
            has_trouble() &&
            due_ms >= static_cast<double>(burst_from.count()) &&
            due_ms < static_cast<double>((burst_from + burst_length).count());
        due_ms += 1000 / (uploads_per_s * (is_burst ? burst_factor : 1));
        std::this_thread::sleep_until(
            start + milliseconds(static_cast<std::int64_t>(due_ms)));
        clients.emplace_back([&] { run_client(machine, body, sum, record); });
    }
    for (std::thread& client : clients)
        client.join();
    const double peak_mb = guard->peak_mb();
    const int kills = guard->kills();
    guard.reset();
    machine.stop(milliseconds(8000));

    int lost = 0;
    for (const std::string& id : sum.unanswered_ids)
    {
        const bool was_passed_on =
            std::any_of(servers.begin(), servers.end(),
                        [&id](const std::unique_ptr<application_server>& server)
                        { return server->has_received(id); });
        lost += was_passed_on ? 1 : 0;
    }
    record.say("sent " + std::to_string(sum.sent) + ", answered " +
               std::to_string(sum.answered) + ", refused " +
               std::to_string(sum.refused) + ", failed " +
               std::to_string(sum.failed) + ", unanswered " +
               std::to_string(sum.unanswered) + "; memory at its peak " +
               std::to_string(peak_mb) + " MB, killed " +
               std::to_string(kills) + " times");
    record.say("LOST: " + std::to_string(lost) +
               " requests passed on to a server and never answered, " +
               std::to_string(allowed_lost) + " allowed");
    finish(lost > allowed_lost ? 1 : 0, folder);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: large_bodies RECORD\n");
        return 2;
    }
    run(argv[1]);
}
