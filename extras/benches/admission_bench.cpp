/** @file
    Measures admission: goodput and urgent work under a flood, fairness
    against the known bound, cost per decision, and the limits over all hosts.

    admission_bench --part=flood|fairness|cost|limits|all
*/
#include "admission/admission.hpp"
#include "admission/share/share_fakes.hpp"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <deque>
#include <functional>
#include <gflags/gflags.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

DEFINE_string(part, "all", "flood, fairness, cost, limits or all");
DEFINE_uint64(seed, 1, "seed of the workload");

using namespace hibiscusferry;

namespace
{

using seconds_double = std::chrono::duration<double>;

time_point at(double seconds)
{
    return time_point(std::chrono::duration_cast<boot_clock::duration>(
        seconds_double(seconds)));
}

// ------------------------------------------------------------------------
// Policies

/** A queue under test. */
class queue_policy
{
public:
    virtual ~queue_policy() = default;
    virtual void offer(const queued_request& request, time_point now) = 0;
    virtual std::optional<queued_request> take(time_point now) = 0;
    virtual void finish(const queued_request& request, double actual) = 0;
};

class fair_policy final : public queue_policy
{
public:
    explicit fair_policy(std::uint32_t capacity)
        : queue_({capacity, 0.2})
    {
    }

    void offer(const queued_request& request, time_point now) override
    {
        queue_.offer(request, now);
    }

    std::optional<queued_request> take(time_point now) override
    {
        queue_.expire(now);
        return queue_.take(now);
    }

    void finish(const queued_request& request, double actual) override
    {
        queue_.finish(request.number, actual);
    }

private:
    fair_queue queue_;
};

/** First come, first served; drops what is past its deadline. */
class first_come_policy final : public queue_policy
{
public:
    explicit first_come_policy(std::uint32_t capacity)
        : capacity_(capacity)
    {
    }

    void offer(const queued_request& request, time_point) override
    {
        if (waiting_.size() < capacity_)
            waiting_.push_back(request);
    }

    std::optional<queued_request> take(time_point now) override
    {
        while (!waiting_.empty())
        {
            const queued_request next = waiting_.front();
            waiting_.pop_front();
            if (now + next.expected_run < next.deadline)
                return next;
        }
        return std::nullopt;
    }

    void finish(const queued_request&, double) override
    {
    }

private:
    std::size_t capacity_;
    std::deque<queued_request> waiting_;
};

/** One request of each customer by turns; drops what is past its
    deadline. */
class round_robin_policy final : public queue_policy
{
public:
    explicit round_robin_policy(std::uint32_t capacity)
        : capacity_(capacity)
    {
    }

    void offer(const queued_request& request, time_point) override
    {
        if (size_ >= capacity_)
            return;
        std::deque<queued_request>& own = waiting_[request.customer];
        if (own.empty())
            turns_.push_back(request.customer);
        own.push_back(request);
        ++size_;
    }

    std::optional<queued_request> take(time_point now) override
    {
        while (size_ > 0)
        {
            const std::string customer = turns_.front();
            turns_.pop_front();
            std::deque<queued_request>& own = waiting_[customer];
            const queued_request next = own.front();
            own.pop_front();
            --size_;
            if (!own.empty())
                turns_.push_back(customer);
            if (now + next.expected_run < next.deadline)
                return next;
        }
        return std::nullopt;
    }

    void finish(const queued_request&, double) override
    {
    }

private:
    std::size_t capacity_;
    std::size_t size_ = 0;
    std::map<std::string, std::deque<queued_request>> waiting_;
    std::deque<std::string> turns_;
};

using policy_maker = std::function<std::unique_ptr<queue_policy>()>;

std::map<std::string, policy_maker> policies(std::uint32_t capacity)
{
    return {{"fair_queue",
             [capacity]
             {
                 return std::make_unique<fair_policy>(capacity);
             }},
            {"first_come",
             [capacity]
             {
                 return std::make_unique<first_come_policy>(capacity);
             }},
            {"round_robin", [capacity]
             {
                 return std::make_unique<round_robin_policy>(capacity);
             }}};
}

// ------------------------------------------------------------------------
// Flood

/** Targets that together do this many weighted tokens a second. */
constexpr double service_rate = 1000;
constexpr int service_slots = 8;
constexpr double simulated_seconds = 300;

struct arrival
{
    double when = 0;
    queued_request request;
    double actual_cost = 0;
};

enum class flood_kind
{
    none,
    normal,
    urgent
};

struct flood_result
{
    double offered_urgent = 0;
    double urgent_in_time = 0;
    double offered_normal = 0;
    double normal_in_time = 0;
    double goodput = 0;
};

void add_arrivals(std::vector<arrival>& arrivals, const std::string& customer,
                  queue_lane lane, double rate, double mean_cost,
                  double time_limit, std::mt19937_64& random)
{
    std::exponential_distribution<double> pause(rate / mean_cost);
    std::lognormal_distribution<double> size(0, 0.6);
    std::lognormal_distribution<double> error(0, 0.4);
    for (double when = pause(random); when < simulated_seconds;
         when += pause(random))
    {
        arrival next;
        next.when = when;
        next.request.customer = customer;
        next.request.lane = lane;
        next.request.cost = mean_cost * size(random);
        next.request.deadline = at(when + time_limit);
        next.request.expected_run =
            std::chrono::milliseconds(static_cast<std::int64_t>(
                next.request.cost * service_slots / service_rate * 1000));
        next.actual_cost = next.request.cost * error(random);
        arrivals.push_back(next);
    }
}

std::vector<arrival> make_arrivals(flood_kind flood)
{
    std::mt19937_64 random(FLAGS_seed);
    std::vector<arrival> arrivals;
    for (int customer = 0; customer < 20; ++customer)
    {
        const std::string name = "customer-" + std::to_string(customer);
        add_arrivals(arrivals, name, queue_lane::normal, 30, 200, 20, random);
        add_arrivals(arrivals, name, queue_lane::urgent, 5, 20, 3, random);
    }
    if (flood != flood_kind::none)
    {
        const queue_lane lane = flood == flood_kind::urgent
                                    ? queue_lane::urgent
                                    : queue_lane::normal;
        add_arrivals(arrivals, "flood", lane, 3 * service_rate, 100,
                     lane == queue_lane::urgent ? 3 : 20, random);
    }
    std::sort(arrivals.begin(), arrivals.end(),
              [](const arrival& left, const arrival& right)
              { return left.when < right.when; });
    request_number number = 0;
    for (arrival& next : arrivals)
        next.request.number = ++number;
    return arrivals;
}

struct running_request
{
    double end = 0;
    request_number number = 0;

    bool operator<(const running_request& other) const
    {
        return end > other.end;
    }
};

void count_end(const arrival& ended, double end, flood_result& counts)
{
    if (at(end) > ended.request.deadline)
        return;
    counts.goodput += ended.actual_cost / simulated_seconds;
    if (ended.request.customer == "flood")
        return;
    if (ended.request.lane == queue_lane::urgent)
        counts.urgent_in_time += 1;
    else
        counts.normal_in_time += 1;
}

flood_result run_flood(queue_policy& policy,
                       const std::vector<arrival>& arrivals)
{
    flood_result counts;
    std::priority_queue<running_request> running;
    std::size_t next = 0;
    while (next < arrivals.size() || !running.empty())
    {
        double now = 0;
        if (running.empty() ||
            (next < arrivals.size() && arrivals[next].when < running.top().end))
        {
            const arrival& one = arrivals[next++];
            now = one.when;
            if (one.request.customer != "flood")
            {
                (one.request.lane == queue_lane::urgent
                     ? counts.offered_urgent
                     : counts.offered_normal) += 1;
            }
            policy.offer(one.request, at(now));
        }
        else
        {
            now = running.top().end;
            const arrival& ended = arrivals[running.top().number - 1];
            running.pop();
            policy.finish(ended.request, ended.actual_cost);
            count_end(ended, now, counts);
        }
        while (running.size() < service_slots)
        {
            const std::optional<queued_request> taken = policy.take(at(now));
            if (!taken)
                break;
            const double cost = arrivals[taken->number - 1].actual_cost;
            running.push(
                {now + cost * service_slots / service_rate, taken->number});
        }
    }
    return counts;
}

void measure_flood()
{
    std::printf("flood: 20 customers offer 70 %% of the service (a seventh of "
                "it urgent); the flood offers 300 %%\n");
    std::printf("%-12s %-14s %16s %16s %14s\n", "flood", "policy",
                "urgent in time", "normal in time", "goodput/s");
    const std::pair<const char*, flood_kind> kinds[] = {
        {"none", flood_kind::none},
        {"normal", flood_kind::normal},
        {"urgent", flood_kind::urgent}};
    for (const std::pair<const char*, flood_kind>& kind : kinds)
    {
        const std::vector<arrival> arrivals = make_arrivals(kind.second);
        std::map<std::string, policy_maker> makers = policies(256);
        for (auto entry = makers.begin(); entry != makers.end(); ++entry)
        {
            const std::unique_ptr<queue_policy> policy = entry->second();
            const flood_result counts = run_flood(*policy, arrivals);
            std::printf("%-12s %-14s %15.1f%% %15.1f%% %14.0f\n", kind.first,
                        entry->first.c_str(),
                        100 * counts.urgent_in_time / counts.offered_urgent,
                        100 * counts.normal_in_time / counts.offered_normal,
                        counts.goodput);
        }
    }
}

// ------------------------------------------------------------------------
// Fairness

/** Largest gap in served tokens between customers that always wait, with
    `slots` requests running at once and charged costs that are wrong. */
double largest_gap(queue_policy& policy, double error_sigma, int slots,
                   double& greatest_cost)
{
    constexpr int customers = 10;
    constexpr int requests = 600;
    std::mt19937_64 random(FLAGS_seed);
    std::lognormal_distribution<double> error(0, error_sigma);
    std::vector<double> actual;
    request_number number = 0;
    for (int index = 0; index < requests; ++index)
    {
        for (int customer = 0; customer < customers; ++customer)
        {
            // Customers differ in the size of their requests.
            std::uniform_real_distribution<double> cost(1,
                                                        20.0 + 20 * customer);
            queued_request request;
            request.number = ++number;
            request.customer = std::to_string(customer);
            request.cost = cost(random);
            request.deadline = at(1e6);
            actual.push_back(request.cost * error(random));
            greatest_cost =
                std::max({greatest_cost, request.cost, actual.back()});
            policy.offer(request, at(0));
        }
    }
    std::vector<double> served(customers, 0);
    std::vector<int> left(customers, requests);
    std::deque<queued_request> running;
    double largest = 0;
    while (*std::min_element(left.begin(), left.end()) > slots)
    {
        const queued_request taken = *policy.take(at(0));
        running.push_back(taken);
        --left[std::stoul(taken.customer)];
        if (static_cast<int>(running.size()) < slots)
            continue;
        const queued_request ended = running.front();
        running.pop_front();
        policy.finish(ended, actual[ended.number - 1]);
        served[std::stoul(ended.customer)] += actual[ended.number - 1];
        const auto range = std::minmax_element(served.begin(), served.end());
        largest = std::max(largest, *range.second - *range.first);
    }
    return largest;
}

void measure_fairness()
{
    std::printf("fairness: 10 customers always waiting, request sizes 1:10; "
                "gap over the bound of 2 x greatest cost\n");
    std::printf("%-14s %8s %8s %12s %12s %8s\n", "policy", "error", "slots",
                "gap", "bound", "ratio");
    const std::pair<double, int> cases[] = {{0.0, 1}, {0.4, 1}, {0.4, 32}};
    std::map<std::string, policy_maker> makers = policies(1000000);
    for (const std::pair<double, int>& one : cases)
    {
        for (auto entry = makers.begin(); entry != makers.end(); ++entry)
        {
            const std::unique_ptr<queue_policy> policy = entry->second();
            double greatest = 0;
            const double gap =
                largest_gap(*policy, one.first, one.second, greatest);
            std::printf("%-14s %8.1f %8d %12.0f %12.0f %8.2f\n",
                        entry->first.c_str(), one.first, one.second, gap,
                        2 * greatest, gap / (2 * greatest));
        }
    }
}

// ------------------------------------------------------------------------
// Cost

double nanoseconds_each(std::size_t count, const std::function<void()>& work)
{
    const std::chrono::steady_clock::time_point begin =
        std::chrono::steady_clock::now();
    work();
    const std::chrono::duration<double, std::nano> elapsed =
        std::chrono::steady_clock::now() - begin;
    return elapsed.count() / static_cast<double>(count);
}

void measure_cost()
{
    std::printf("cost: each customer has 4 requests waiting; ns each\n");
    std::printf("%10s %10s %10s %10s %12s\n", "customers", "offer", "take",
                "finish", "limit");
    for (const std::size_t customers : {10U, 100U, 1000U, 10000U})
    {
        const std::size_t total = customers * 4;
        const std::size_t rounds = std::max<std::size_t>(1, 200000 / total);
        service_document document;
        document.service = "s";
        document.limits.queue_length = static_cast<std::uint32_t>(total * 2);
        std::vector<queued_request> requests(total);
        for (std::size_t index = 0; index < customers; ++index)
        {
            customer_entry entry;
            entry.name = "customer-" + std::to_string(index);
            entry.tokens_per_second = 1000;
            document.customers.push_back(entry);
        }
        for (std::size_t index = 0; index < total; ++index)
        {
            requests[index] = {index + 1,
                               document.customers[index % customers].name,
                               index % 5 == 0 ? queue_lane::urgent
                                              : queue_lane::normal,
                               1.0 + static_cast<double>(index % 97),
                               at(1e6),
                               std::chrono::milliseconds(0)};
        }
        fair_queue queue({document.limits.queue_length, 0.2});
        queue.configure(document, at(0));
        customer_limits limits("host", 1, at(0));
        limits.configure(document, at(0));
        double offer = 0;
        double take = 0;
        double finish = 0;
        double limit = 0;
        for (std::size_t round = 0; round < rounds; ++round)
        {
            limit += nanoseconds_each(
                total,
                [&]
                {
                    for (const queued_request& one : requests)
                        limits.admit("s", one.customer, one.lane, one.cost,
                                     at(0));
                });
            offer +=
                nanoseconds_each(total,
                                 [&]
                                 {
                                     for (const queued_request& one : requests)
                                         queue.offer(one, at(0));
                                 });
            take += nanoseconds_each(total,
                                     [&]
                                     {
                                         while (queue.take(at(0)))
                                         {
                                         }
                                     });
            finish += nanoseconds_each(
                total,
                [&]
                {
                    for (const queued_request& one : requests)
                        queue.finish(one.number, one.cost * 1.1);
                });
        }
        const double count = static_cast<double>(rounds);
        std::printf("%10zu %10.0f %10.0f %10.0f %12.0f\n", customers,
                    offer / count, take / count, finish / count, limit / count);
    }
}

// ------------------------------------------------------------------------
// Limits over all hosts

/** 1,500 customers with limits; the first offers four times its own. */
class limits_run
{
public:
    explicit limits_run(std::size_t hosts)
        : count_(hosts)
        , requests_(18.4 * static_cast<double>(hosts))
        , random_(FLAGS_seed)
        , hosts_(hosts, document(), 0.01, FLAGS_seed)
    {
    }

    /** @returns admitted over limit of the heavy customer, each second */
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
    static constexpr int customers = 1500;

    /** A tenth of all requests of the hosts are within its limit. */
    double heavy_limit() const
    {
        return requests_ * cost_each / 10;
    }

    service_document document() const
    {
        service_document made;
        made.service = "s";
        for (int index = 0; index < customers; ++index)
        {
            customer_entry entry;
            entry.name = "customer-" + std::to_string(index);
            // All others come to about nine tenths of their limit.
            entry.tokens_per_second =
                index == 0 ? heavy_limit()
                           : 0.6 * requests_ * cost_each / customers / 0.9;
            made.customers.push_back(entry);
        }
        return made;
    }

    double offer_step()
    {
        std::uniform_int_distribution<std::size_t> host(
            0, hosts_.hosts().size() - 1);
        std::uniform_int_distribution<int> other(1, customers - 1);
        std::uniform_real_distribution<double> chance(0, 1);
        double admitted = 0;
        for (int index = 0; index < static_cast<int>(requests_ / 2); ++index)
        {
            std::size_t at_host = host(random_);
            while (!hosts_.hosts()[at_host].alive)
                at_host = host(random_);
            const bool heavy = chance(random_) < 0.4;
            const int customer = heavy ? 0 : other(random_);
            const bool taken = hosts_.offer(
                at_host, "customer-" + std::to_string(customer), cost_each);
            admitted += heavy && taken ? cost_each : 0;
        }
        return admitted;
    }

    std::size_t count_;
    double requests_;
    std::mt19937_64 random_;
    fake_share_hosts hosts_;
};

void print_ratios(std::size_t hosts, const char* phase,
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

void measure_limits()
{
    std::printf("limits: 1,500 customers, 18.4 requests/s a host, 1 %% of "
                "messages lost; one customer offers 4 x its limit\n");
    for (const std::size_t hosts : {8U, 50U, 370U})
    {
        limits_run run(hosts);
        print_ratios(hosts, "start", run.run(30));
        run.run(30);
        print_ratios(hosts, "steady", run.run(60));
        run.hosts().lose(run.hosts().home_of("customer-0"));
        print_ratios(hosts, "home lost", run.run(30));
        run.run(20);
        const std::size_t home = run.hosts().home_of("customer-0");
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

} // namespace

int main(int argc, char** argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, void (*)()> parts = {
        {"flood", measure_flood},
        {"fairness", measure_fairness},
        {"cost", measure_cost},
        {"limits", measure_limits}};
    for (auto part = parts.begin(); part != parts.end(); ++part)
    {
        if (FLAGS_part == "all" || FLAGS_part == part->first)
            part->second();
    }
    return 0;
}
