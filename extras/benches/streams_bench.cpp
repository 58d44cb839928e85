/** @file
    Measures the exchange of stream versions: the time of each step, the size of
    the datagrams, the memory of a full store, and the processor time of the
    whole exchange over loopback.
*/

#include "gateway/gateway.hpp"

#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_uint64(hosts, 370, "number of hosts in the list");
DEFINE_uint64(zones, 7, "number of availability zones");
DEFINE_uint64(streams, 20000, "number of streams that are recorded");
DEFINE_string(software_version, "1.14.2",
              "the software version of the targets");

using namespace hibiscusferry;
using std::chrono::milliseconds;
using message_kind = stream_version_message::kind;

namespace
{

constexpr milliseconds lifetime{20000};

double processor_seconds()
{
    timespec processor_time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &processor_time);
    return static_cast<double>(processor_time.tv_sec) +
           static_cast<double>(processor_time.tv_nsec) * 1e-9;
}

std::string request_id(std::uint64_t number)
{
    return "request-" + std::to_string(number);
}

std::vector<peer_host> make_hosts()
{
    std::vector<peer_host> hosts;
    for (std::uint64_t index = 0; index < FLAGS_hosts; ++index)
        hosts.push_back({"host-" + std::to_string(index),
                         "zone-" + std::to_string(index % FLAGS_zones),
                         "127.0.0.1", 9});
    return hosts;
}

/** Prints the mean processor time of `step`, called with 0, 1, and so on. */
template <class Step>
void measure_step(const char* name, const Step& step)
{
    const double start = processor_seconds();
    for (std::uint64_t index = 0; index < FLAGS_streams; ++index)
        step(index);
    std::printf("step=%s ns=%.0f\n", name,
                (processor_seconds() - start) * 1e9 /
                    static_cast<double>(FLAGS_streams));
}

void measure_steps()
{
    record_host_selector selector;
    std::vector<record_host_selector::candidate> candidates;
    for (const peer_host& host : make_hosts())
        candidates.push_back({host.host, host.availability_zone});
    selector.set_candidates(candidates);
    std::size_t total = 0;
    measure_step("hash_request_id", [&](std::uint64_t index)
                 { total += stable_hash(request_id(index)) & 1U; });
    measure_step("select_3_hosts", [&](std::uint64_t index)
                 { total += selector.select(index, 3, "host-1").size(); });
    measure_step("select_6_hosts", [&](std::uint64_t index)
                 { total += selector.select(index, 6, "host-1").size(); });

    const stream_version value{FLAGS_software_version, lifetime};
    const stream_key key = stable_hash("request");
    const std::string record =
        encode_stream_message({message_kind::record, key, 0, value});
    measure_step("encode_record",
                 [&](std::uint64_t index)
                 {
                     total += encode_stream_message(
                                  {message_kind::record, index, 0, value})
                                  .size();
                 });
    measure_step("decode_record",
                 [&](std::uint64_t) {
                     total += decode_stream_message(record).has_value() ? 1 : 0;
                 });
    std::printf(
        "bytes record=%zu question=%zu answer=%zu unknown_answer=%zu\n",
        record.size(),
        encode_stream_message({message_kind::question, key, key, std::nullopt})
            .size(),
        encode_stream_message({message_kind::answer, 0, key, value}).size(),
        encode_stream_message({message_kind::answer, 0, key, std::nullopt})
            .size());
    std::printf("checksum=%zu\n", total);
}

void measure_store()
{
    const std::size_t max_records = stream_version_settings{}.max_records;
    const stream_version value{FLAGS_software_version, lifetime};
    const std::size_t heap_before = mallinfo2().uordblks;
    stream_version_store store(max_records);
    time_point now{};
    const auto record = [&](std::uint64_t index)
    {
        now += std::chrono::microseconds(10);
        store.record(combine_hashes(1, index), value, now);
    };
    for (std::uint64_t index = 0; index < max_records; ++index)
        record(index);
    const std::size_t heap = mallinfo2().uordblks - heap_before;
    std::printf("store records=%zu bytes_per_record=%.0f\n", store.size(),
                static_cast<double>(heap) / static_cast<double>(store.size()));
    measure_step("store_when_full",
                 [&](std::uint64_t index) { record(max_records + index); });
    std::size_t found = 0;
    measure_step("find_when_full",
                 [&](std::uint64_t index)
                 {
                     found +=
                         store.find(combine_hashes(1, max_records + index), now)
                                 .has_value()
                             ? 1
                             : 0;
                 });
    std::printf("found=%zu\n", found);
}

/** A list of hosts that can be extended. */
class bench_peers final : public peer_directory
{
public:
    std::vector<peer_host> serving_hosts() const override
    {
        return hosts;
    }

    std::uint64_t revision() const override
    {
        return hosts.size();
    }

    std::vector<peer_host> hosts;
};

/** Measures what each stream costs a host of a large fleet on average: it sends
    three records, and receives three. */
void measure_exchange()
{
    process_settings process;
    process.host = "host";
    process.region = "r";
    process.availability_zone = "a";
    process_core core("gateway", process);
    bench_peers peers;
    constexpr std::size_t host_count = 4;
    std::vector<std::unique_ptr<datagram_channel>> channels;
    std::vector<std::unique_ptr<stream_version_directory>> directories;
    for (std::size_t index = 0; index < host_count; ++index)
    {
        const std::string address = "127.0.0." + std::to_string(index + 1);
        const std::string host = "host-" + std::to_string(index);
        channels.push_back(std::make_unique<datagram_channel>(
            core, datagram_endpoint(address, 0)));
        directories.push_back(std::make_unique<stream_version_directory>(
            core, host, peers, *channels.back()));
        if (!channels.back()->start() || !directories.back()->start())
        {
            std::printf("exchange failed: no socket on %s\n", address.c_str());
            return;
        }
        peers.hosts.push_back({host, "zone-" + std::to_string(index), address,
                               channels.back()->endpoint().port()});
    }
    const double start = processor_seconds();
    for (std::uint64_t index = 0; index < FLAGS_streams; ++index)
    {
        directories[index % host_count]->record(
            request_id(index), FLAGS_software_version, lifetime);
        core.context().poll();
    }
    core.context().run_for(milliseconds(100));
    const double elapsed = processor_seconds() - start;
    std::printf(
        "exchange streams=%lu us_per_stream=%.2f sent=%lu "
        "received=%lu\n",
        static_cast<unsigned long>(FLAGS_streams),
        elapsed * 1e6 / static_cast<double>(FLAGS_streams),
        static_cast<unsigned long>(
            core.metrics()
                .counter_of("hibiscusferry_stream_records_sent_total")
                .value()),
        static_cast<unsigned long>(
            core.metrics()
                .counter_of("hibiscusferry_stream_records_received_total")
                .value()));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    measure_steps();
    measure_store();
    measure_exchange();
    return 0;
}
