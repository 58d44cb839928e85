#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_GLOBAL_LIMITS_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_GLOBAL_LIMITS_HPP

#include "admission/share/fake_share_hosts.hpp"
#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

/** @file
    Simulates the enforcement of global limits while hosts crash, are
    partitioned from the others, or join.
*/
namespace hibiscusferry::bench
{

/** Simulates 1,500 workspaces with limits, of which the first one offers four
    times its limit. */
class limits_simulation
{
public:
    limits_simulation(std::size_t hosts, std::uint64_t seed)
        : host_count_(hosts)
        , requests_per_second_(18.4 * static_cast<double>(hosts))
        , random_(seed)
        , hosts_(hosts, document(), 0.01, seed)
    {
    }

    /** Runs the simulation.

        @returns for each second the ratio of the admitted cost of the heavy
                 workspace to its limit
    */
    std::vector<double> run(int seconds)
    {
        std::vector<double> ratios;
        for (int second = 0; second < seconds; ++second)
        {
            double admitted = 0;
            for (int step = 0; step < 2; ++step)
            {
                admitted += offer_step();
                hosts_.step();
            }
            ratios.push_back(admitted / heavy_limit());
        }
        return ratios;
    }

    void print_bytes(int seconds)
    {
        double max_sent = 0;
        double sum = 0;
        for (fake_share_hosts::host& host : hosts_.hosts())
        {
            host.sent_bytes = 0;
            host.received_bytes = 0;
        }
        run(seconds);
        for (const fake_share_hosts::host& host : hosts_.hosts())
        {
            const double sent = host.sent_bytes / seconds;
            max_sent = std::max(max_sent, sent);
            sum += sent;
        }
        std::printf("%6zu hosts: %6.0f bytes/s sent per node on average, "
                    "%6.0f at most\n",
                    host_count_,
                    sum / static_cast<double>(hosts_.hosts().size()), max_sent);
    }

    fake_share_hosts& hosts()
    {
        return hosts_;
    }

private:
    static constexpr double request_cost = 50;
    static constexpr int workspaces = 1500;

    /** The limit of the heavy workspace: a tenth of the cost of all
        requests. */
    double heavy_limit() const
    {
        return requests_per_second_ * request_cost / 10;
    }

    service_document document() const
    {
        service_document limits_document;
        limits_document.service = "s";
        for (int index = 0; index < workspaces; ++index)
        {
            workspace_entry entry;
            entry.name = "customer-" + std::to_string(index);
            // The others use about nine tenths of their limits.
            entry.tokens_per_second = index == 0
                                          ? heavy_limit()
                                          : 0.6 * requests_per_second_ *
                                                request_cost / workspaces / 0.9;
            limits_document.workspaces.push_back(entry);
        }
        return limits_document;
    }

    double offer_step()
    {
        std::uniform_int_distribution<std::size_t> host(
            0, hosts_.hosts().size() - 1);
        std::uniform_int_distribution<int> other_workspace(1, workspaces - 1);
        std::uniform_real_distribution<double> unit(0, 1);
        double admitted = 0;
        for (int index = 0; index < static_cast<int>(requests_per_second_ / 2);
             ++index)
        {
            std::size_t host_index = host(random_);
            while (!hosts_.hosts()[host_index].alive)
                host_index = host(random_);
            const bool is_heavy = unit(random_) < 0.4;
            const int workspace = is_heavy ? 0 : other_workspace(random_);
            const bool is_admitted = hosts_.offer(
                host_index, "customer-" + std::to_string(workspace),
                request_cost);
            admitted += is_heavy && is_admitted ? request_cost : 0;
        }
        return admitted;
    }

    std::size_t host_count_;
    double requests_per_second_;
    std::mt19937_64 random_;
    fake_share_hosts hosts_;
};

inline void print_ratios(std::size_t hosts, const char* phase,
                         const std::vector<double>& ratios)
{
    double sum = 0;
    double excess = 0;
    for (const double ratio : ratios)
    {
        sum += ratio;
        excess += std::max(0.0, ratio - 1);
    }
    std::printf("%6zu hosts, %-18s admitted/limit: mean %5.3f, max in a "
                "second %5.3f, excess %5.2f s of the limit in %zu s\n",
                hosts, phase, sum / static_cast<double>(ratios.size()),
                *std::max_element(ratios.begin(), ratios.end()), excess,
                ratios.size());
}

inline void measure_limits(std::uint64_t seed)
{
    std::printf("limits: 1,500 customers, 18.4 requests/s per host, 1 %% of "
                "messages lost; one customer offers 4 x its limit\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
    {
        limits_simulation run(hosts, seed);
        print_ratios(hosts, "start", run.run(30));
        run.run(30);
        print_ratios(hosts, "steady", run.run(60));
        run.hosts().crash(run.hosts().owner_of("customer-0"));
        print_ratios(hosts, "owner lost", run.run(30));
        run.run(20);
        const std::size_t owner = run.hosts().owner_of("customer-0");
        std::size_t isolated_host = (owner + 1) % hosts;
        while (!run.hosts().hosts()[isolated_host].alive)
            isolated_host = (isolated_host + 1) % hosts;
        run.hosts().cut_off(isolated_host);
        print_ratios(hosts, "one host isolated", run.run(30));
        run.hosts().add();
        print_ratios(hosts, "new host", run.run(30));
        run.print_bytes(30);
    }
}

} // namespace hibiscusferry::bench

#endif
