#ifndef HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_GLOBAL_LIMITS_HPP
#define HIBISCUSFERRY_EXTRAS_BENCHES_ADMISSION_GLOBAL_LIMITS_HPP

#include "admission/share/fake_share_hosts.hpp"
#include <algorithm>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

/** @file
    Limits over all hosts while hosts are lost, cut off and new.
*/
namespace hibiscusferry::bench
{

/** 1,500 workspaces with limits; the first offers four times its own. */
class limits_run
{
public:
    limits_run(std::size_t hosts, std::uint64_t seed)
        : count_(hosts)
        , requests_(18.4 * static_cast<double>(hosts))
        , random_(seed)
        , hosts_(hosts, document(), 0.01, seed)
    {
    }

    /** @returns admitted over limit of the heavy workspace, each second */
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
        double most = 0;
        double sum = 0;
        for (fake_share_hosts::host& one : hosts_.hosts())
        {
            one.sent_bytes = 0;
            one.received_bytes = 0;
        }
        run(seconds);
        for (const fake_share_hosts::host& one : hosts_.hosts())
        {
            const double sent = one.sent_bytes / seconds;
            most = std::max(most, sent);
            sum += sent;
        }
        std::printf("%6zu hosts: %6.0f bytes/s sent a node on the mean, "
                    "%6.0f at most\n",
                    count_, sum / static_cast<double>(hosts_.hosts().size()),
                    most);
    }

    fake_share_hosts& hosts()
    {
        return hosts_;
    }

private:
    static constexpr double cost_each = 50;
    static constexpr int workspaces = 1500;

    /** A tenth of all requests of the hosts are within its limit. */
    double heavy_limit() const
    {
        return requests_ * cost_each / 10;
    }

    service_document document() const
    {
        service_document made;
        made.service = "s";
        for (int index = 0; index < workspaces; ++index)
        {
            workspace_entry entry;
            entry.name = "customer-" + std::to_string(index);
            // All others come to about nine tenths of their limit.
            entry.tokens_per_second =
                index == 0 ? heavy_limit()
                           : 0.6 * requests_ * cost_each / workspaces / 0.9;
            made.workspaces.push_back(entry);
        }
        return made;
    }

    double offer_step()
    {
        std::uniform_int_distribution<std::size_t> host(
            0, hosts_.hosts().size() - 1);
        std::uniform_int_distribution<int> other(1, workspaces - 1);
        std::uniform_real_distribution<double> chance(0, 1);
        double admitted = 0;
        for (int index = 0; index < static_cast<int>(requests_ / 2); ++index)
        {
            std::size_t at_host = host(random_);
            while (!hosts_.hosts()[at_host].alive)
                at_host = host(random_);
            const bool heavy = chance(random_) < 0.4;
            const int workspace = heavy ? 0 : other(random_);
            const bool taken = hosts_.offer(
                at_host, "customer-" + std::to_string(workspace), cost_each);
            admitted += heavy && taken ? cost_each : 0;
        }
        return admitted;
    }

    std::size_t count_;
    double requests_;
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
    std::printf("%6zu hosts, %-18s admitted/limit: mean %5.3f, most in a "
                "second %5.3f, excess %5.2f s of the limit in %zu s\n",
                hosts, phase, sum / static_cast<double>(ratios.size()),
                *std::max_element(ratios.begin(), ratios.end()), excess,
                ratios.size());
}

inline void measure_limits(std::uint64_t seed)
{
    std::printf("limits: 1,500 customers, 18.4 requests/s a host, 1 %% of "
                "messages lost; one customer offers 4 x its limit\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
    {
        limits_run run(hosts, seed);
        print_ratios(hosts, "start", run.run(30));
        run.run(30);
        print_ratios(hosts, "steady", run.run(60));
        run.hosts().crash(run.hosts().owner_of("customer-0"));
        print_ratios(hosts, "home lost", run.run(30));
        run.run(20);
        const std::size_t home = run.hosts().owner_of("customer-0");
        std::size_t lone = (home + 1) % hosts;
        while (!run.hosts().hosts()[lone].alive)
            lone = (lone + 1) % hosts;
        run.hosts().cut_off(lone);
        print_ratios(hosts, "one host cut off", run.run(30));
        run.hosts().add();
        print_ratios(hosts, "new host", run.run(30));
        run.print_bytes(30);
    }
}

} // namespace hibiscusferry::bench

#endif
