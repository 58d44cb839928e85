/** @file
    Measures membership on simulated hosts in virtual time: bytes, messages,
    processor time and memory per node, the time to detect a crash, false
    exclusions under message loss and pauses, and a network partition between
    two regions.
*/

#include "membership/view/membership_simulation_test.hpp"

#include <cstdio>
#include <ctime>
#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_uint64(seeds, 5, "number of seeds to run, counted from 1");
DEFINE_int32(apart_minutes, 60,
             "minutes for which the regions are partitioned");

using namespace hibiscusferry;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

namespace
{

double processor_seconds()
{
    timespec processor_time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &processor_time);
    return static_cast<double>(processor_time.tv_sec) +
           static_cast<double>(processor_time.tv_nsec) * 1e-9;
}

std::size_t heap_bytes()
{
    return mallinfo2().uordblks;
}

/** Advances the simulation until all other hosts have excluded `host`, for
    five minutes at most.

    @param others  number of hosts that must have excluded `host`
    @returns the virtual time that passed, in seconds
*/
double seconds_until_excluded(membership_simulation& simulation,
                              const std::string& host, std::size_t others)
{
    const time_point begin = simulation.now;
    while (simulation.count(host, member_state::excluded) < others &&
           simulation.now < begin + minutes(5))
        simulation.run(milliseconds(100));
    return std::chrono::duration<double>(simulation.now - begin).count();
}

void measure_cost(std::size_t hosts)
{
    const std::size_t heap_before = heap_bytes();
    membership_simulation simulation(hosts, {}, 1);
    for (std::size_t host = 0; host < hosts; ++host)
    {
        simulation.view(host).set_digest(1, std::string(16, 'c'));
        simulation.view(host).set_digest(2, std::string(40, 'u'));
    }
    simulation.run(seconds(30));
    const std::size_t heap = heap_bytes() - heap_before;

    constexpr double measured_seconds = 120;
    simulation.faults.loss = 0.01;
    const std::uint64_t messages = simulation.messages;
    const std::uint64_t bytes = simulation.bytes;
    const double processor_start = processor_seconds();
    simulation.run(seconds(120));
    const double node_seconds = static_cast<double>(hosts) * measured_seconds;
    std::printf("cost hosts=%zu messages/s=%.2f bytes/s=%.0f "
                "core_percent=%.4f heap_KB=%.1f largest_message=%lu\n",
                hosts,
                static_cast<double>(simulation.messages - messages) /
                    node_seconds,
                static_cast<double>(simulation.bytes - bytes) / node_seconds,
                (processor_seconds() - processor_start) / node_seconds * 100,
                static_cast<double>(heap) / static_cast<double>(hosts) / 1024,
                static_cast<unsigned long>(simulation.largest_message));
}

void measure_detection(std::size_t hosts)
{
    double total = 0;
    double max_detection_s = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed)
    {
        membership_simulation simulation(hosts, {}, seed);
        simulation.run(seconds(20));
        simulation.crash(1);
        const double detection_s =
            seconds_until_excluded(simulation, "host-1", hosts - 1);
        total += detection_s;
        max_detection_s = std::max(max_detection_s, detection_s);
    }
    std::printf("detection hosts=%zu seeds=%lu mean_s=%.1f longest_s=%.1f\n",
                hosts, static_cast<unsigned long>(FLAGS_seeds),
                total / static_cast<double>(FLAGS_seeds), max_detection_s);
}

void measure_loss(std::size_t hosts, double loss)
{
    std::uint64_t exclusions = 0;
    std::uint64_t suspicions = 0;
    std::size_t still_excluded = 0;
    for (std::uint64_t seed = 1; seed <= FLAGS_seeds; ++seed)
    {
        membership_simulation simulation(hosts, {}, seed);
        simulation.faults.loss = loss;
        // Pauses one host for three seconds in every ten.
        for (std::size_t step = 0; step < 30; ++step)
        {
            simulation.pause(step % hosts, seconds(3));
            simulation.run(seconds(10));
        }
        exclusions += simulation.exclusions_of_live;
        suspicions += simulation.suspicions_of_live;
        still_excluded += simulation.false_exclusions();
    }
    std::printf("loss hosts=%zu loss=%.2f pauses=30x3s seeds=%lu "
                "suspicions=%lu exclusions=%lu still_excluded=%zu\n",
                hosts, loss, static_cast<unsigned long>(FLAGS_seeds),
                static_cast<unsigned long>(suspicions),
                static_cast<unsigned long>(exclusions), still_excluded);
}

void measure_split(std::size_t hosts)
{
    membership_simulation simulation(hosts, {}, 1);
    simulation.run(seconds(20));
    simulation.faults.are_regions_partitioned = true;
    simulation.run(minutes(FLAGS_apart_minutes) - minutes(1));
    const std::uint64_t bytes = simulation.bytes;
    simulation.run(minutes(1));
    const double rate = static_cast<double>(simulation.bytes - bytes) /
                        static_cast<double>(hosts) / 60;
    const std::size_t live = simulation.view(0).live_hosts().size();
    simulation.faults.are_regions_partitioned = false;
    const time_point reconnect_time = simulation.now;
    const std::uint64_t bytes_at_reconnect = simulation.bytes;
    while (simulation.false_exclusions() > 0 &&
           simulation.now < reconnect_time + minutes(10))
        simulation.run(seconds(1));
    const double rejoin_time_s =
        std::chrono::duration<double>(simulation.now - reconnect_time).count();
    std::printf("split hosts=%zu apart_min=%d live_seen=%zu "
                "bytes/s_apart=%.0f rejoin_s=%.0f bytes/s_rejoin=%.0f\n",
                hosts, FLAGS_apart_minutes, live, rate, rejoin_time_s,
                static_cast<double>(simulation.bytes - bytes_at_reconnect) /
                    static_cast<double>(hosts) / std::max(rejoin_time_s, 1.0));
}

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    for (const std::size_t hosts : {8U, 50U, 370U})
        measure_cost(hosts);
    for (const std::size_t hosts : {8U, 50U, 370U})
        measure_detection(hosts);
    for (const double loss : {0.01, 0.05})
    {
        measure_loss(8, loss);
        measure_loss(50, loss);
    }
    for (const std::size_t hosts : {8U, 50U, 370U})
        measure_split(hosts);
    return 0;
}
