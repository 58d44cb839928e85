#include "deployment.hpp"

#include <csignal>
#include <cstdio>

// The operator stops a machine while it relays streams. The trouble is a change
// of its settings before: `grace-s` grows, and the process gets SIGHUP.

namespace
{

using namespace review;

constexpr int first_grace_s = 8;
constexpr int new_grace_s = 15;
constexpr int streams = 10;
/** With pauses of 100 ms the streams last 10 s. */
constexpr int events = 100;
/** The streams begin from so long before the SIGTERM, one after the other. */
constexpr milliseconds streams_from{1000};
constexpr milliseconds between_streams{100};

struct totals
{
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> cut{0};
    std::atomic<int> other{0};
};

json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "query"},
               {"hostname", "orders.example"},
               {"prefix", "/query/"},
               {"kind", "streaming"},
               {"timeout-ms", 15000},
               {"target-latency-ms", 100},
               {"gap-target-ms", 150},
               {"priority", 1},
               {"service", "assistant"},
               {"max-attempts", 1},
               {"resumable", false}},
              {{"name", "query-2"},
               {"hostname", "orders.example"},
               {"prefix", "/query-2/"},
               {"kind", "streaming"},
               {"timeout-ms", 15000},
               {"target-latency-ms", 100},
               {"gap-target-ms", 150},
               {"priority", 1},
               {"service", "assistant"},
               {"max-attempts", 1},
               {"resumable", false}}}},
            {"services",
             {{{"name", "assistant"},
               {"health-path", "/health"},
               {"max-connections", 160},
               {"protocol", "h1"},
               {"tls", false}}}},
            {"limits",
             {{"max-header-bytes", 16384},
              {"max-body-bytes", 4194304},
              {"header-timeout-ms", 3000},
              {"idle-timeout-ms", 15000}}}};
}

void run_client(system_process& machine, totals& sum, event_record& record)
{
    const std::string id = next_request_id();
    const std::unique_ptr<connection> peer = connection::open(
        machine.address(), machine.front_port(), milliseconds(1000));
    if (!peer || !peer->write("POST /query/2f HTTP/1.1\r\n"
                              "Host: orders.example\r\nX-Request-Id: " +
                              id +
                              "\r\nX-Deadline-Ms: 15000\r\n"
                              "Content-Length: 0\r\n\r\n"))
    {
        ++sum.other;
        return;
    }
    record.add("client " + id + " has sent its request");
    const std::optional<message_head> head =
        peer->read_head(milliseconds(16000));
    const bool is_whole =
        head && peer->read_body(*head, milliseconds(16000)).has_value();
    record.add("client " + id +
               (!head ? " gets no answer"
                : is_whole
                    ? " has a whole answer " + std::to_string(head->status())
                    : " loses its stream before the end"));
    ++(!is_whole               ? sum.cut
       : head->status() == 200 ? sum.complete
       : head->status() == 503 ? sum.refused
                               : sum.other);
}

[[noreturn]] void run(const std::string& record_path)
{
    event_record record(record_path);
    const std::string folder = temporary_folder();
    record.say(has_trouble() ? "grace-s changes while the process runs"
                             : "grace-s stands from the start");
    const std::string network = loopback_network();
    platform_store store(network + "1");
    store.put("op", "config", configuration().dump());
    std::vector<std::unique_ptr<application_server>> servers;
    for (int index = 0; index < 3; ++index)
    {
        server_settings settings;
        settings.id = "i-" + std::to_string(index);
        settings.service = "assistant";
        settings.address = network + std::to_string(20 + index);
        settings.zone = index == 0 ? "zone-a" : "zone-b";
        settings.slots = 16;
        settings.work = milliseconds(20);
        settings.events = events;
        servers.push_back(
            std::make_unique<application_server>(settings, store, record));
    }
    system_process machine(
        folder, machine_settings(network, 10, "zone-a", store.port()), record);
    machine.change_bound("grace-s",
                         has_trouble() ? first_grace_s : new_grace_s);
    if (!machine.start() || !machine.wait_until_ready(milliseconds(10000)))
    {
        record.say("the process is not ready");
        machine.stop(milliseconds(0));
        finish(2, folder);
    }
    std::this_thread::sleep_for(milliseconds(2000));
    if (has_trouble())
    {
        machine.change_bound("grace-s", new_grace_s);
        machine.signal(SIGHUP);
    }
    // Far longer than `stable-window-ms` and `config-apply-ms`.
    std::this_thread::sleep_for(milliseconds(8000));

    totals sum;
    std::vector<std::thread> clients;
    for (int index = 0; index < streams; ++index)
    {
        clients.emplace_back([&] { run_client(machine, sum, record); });
        std::this_thread::sleep_for(between_streams);
    }
    std::this_thread::sleep_for(streams_from - streams * between_streams);
    const std::int64_t stopped_at = record.now_ms();
    machine.stop(std::chrono::seconds(new_grace_s));
    const std::int64_t ended_at = record.now_ms();
    for (std::thread& client : clients)
        client.join();

    record.say("SIGTERM; the process ended " +
               std::to_string(ended_at - stopped_at) + " ms later, of " +
               std::to_string(new_grace_s * 1000) + " ms");
    record.say("LOST: of " + std::to_string(streams) + " streams " +
               std::to_string(sum.complete) + " complete, " +
               std::to_string(sum.refused) + " refused, " +
               std::to_string(sum.cut) + " cut, " + std::to_string(sum.other) +
               " otherwise");
    finish(sum.cut > 0 ? 1 : 0, folder);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: grace_change RECORD\n");
        return 2;
    }
    run(argv[1]);
}
