#ifndef HIBISCUSFERRY_MEMBERSHIP_VIEW_MEMBERSHIP_SIMULATION_TEST_HPP
#define HIBISCUSFERRY_MEMBERSHIP_VIEW_MEMBERSHIP_SIMULATION_TEST_HPP

#include "membership/membership.hpp"

#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace hibiscusferry
{

/** Faults of the simulated network. */
struct membership_faults
{
    double loss = 0;
    bool are_regions_partitioned = false;
    /** Injected fault: messages are delivered with all incarnations 0. */
    bool drop_incarnations = false;
};

/** A simulation, for tests and the bench, of entry hosts in two regions that
    are connected by a simulated network. Time is virtual. */
class membership_simulation
{
public:
    membership_simulation(std::size_t hosts,
                          const membership_settings& settings,
                          std::uint64_t seed)
        : settings_(settings)
        , random_(seed)
    {
        host_list.revision = 1;
        for (std::size_t index = 0; index < hosts; ++index)
            host_list.hosts.push_back(listing("host-" + std::to_string(index),
                                              index % 2 == 0 ? "r1" : "r2"));
        for (const listed_host& host : host_list.hosts)
            start(host);
    }

    static listed_host listing(const std::string& id, const std::string& region)
    {
        listed_host host;
        host.id = id;
        host.region = region;
        return host;
    }

    void start(const listed_host& host)
    {
        nodes_.emplace_back();
        node& started = nodes_.back();
        started.id = host.id;
        started.region = host.region;
        started.next_tick = now + std::chrono::milliseconds(random_() % 100);
        started.view = std::make_unique<membership_view>(host.id, settings_,
                                                         random_(), now);
        started.view->apply_host_list(host_list, now);
        index_[host.id] = nodes_.size() - 1;
    }

    /** Delivers the list with a new revision to every host. */
    void publish_list()
    {
        ++host_list.revision;
        for (node& current : nodes_)
            current.view->apply_host_list(host_list, now);
    }

    void run(std::chrono::milliseconds duration)
    {
        const time_point end = now + duration;
        while (now < end)
        {
            now += std::chrono::milliseconds(10);
            while (!in_transit_.empty() && in_transit_.top().arrival <= now)
                deliver();
            for (node& current : nodes_)
                step(current);
        }
    }

    void crash(std::size_t host)
    {
        nodes_[host].crashed = true;
    }

    void pause(std::size_t host, std::chrono::milliseconds duration)
    {
        nodes_[host].paused_until = now + duration;
    }

    /** Returns the number of running hosts whose view has a host in `state`. */
    std::size_t count(const std::string& host, member_state state) const
    {
        std::size_t total = 0;
        for (const node& current : nodes_)
        {
            if (current.crashed || current.id == host)
                continue;
            const std::optional<member> host_view = current.view->find(host);
            total += host_view && host_view->state == state ? 1U : 0U;
        }
        return total;
    }

    /** Returns the number of pairs of running hosts of which the first has
        excluded the second. */
    std::size_t false_exclusions() const
    {
        std::size_t total = 0;
        for (const node& current : nodes_)
        {
            if (!current.crashed)
                total += count(current.id, member_state::excluded);
        }
        return total;
    }

    membership_view& view(std::size_t host)
    {
        return *nodes_[host].view;
    }

    std::size_t size() const
    {
        return nodes_.size();
    }

    membership_faults faults;
    time_point now;
    host_list_snapshot host_list;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t largest_message = 0;
    /** Number of changes to excluded of hosts that have not crashed. */
    std::uint64_t exclusions_of_live = 0;
    std::uint64_t suspicions_of_live = 0;

private:
    struct node
    {
        std::string id;
        std::string region;
        std::unique_ptr<membership_view> view;
        time_point next_tick;
        time_point paused_until;
        bool crashed = false;
    };

    struct packet
    {
        time_point arrival;
        std::uint64_t number = 0;
        std::size_t to = 0;
        membership_message message;

        bool operator<(const packet& other) const
        {
            return arrival != other.arrival ? other.arrival < arrival
                                            : other.number < number;
        }
    };

    void step(node& current)
    {
        if (current.crashed || now < current.paused_until ||
            now < current.next_tick)
            return;
        current.next_tick = now + std::chrono::milliseconds(100);
        perform(current, current.view->tick(now));
    }

    void perform(const node& from, const membership_actions& actions)
    {
        for (const member_change& change : actions.changes)
        {
            const auto subject = index_.find(change.host);
            if (subject == index_.end() || nodes_[subject->second].crashed)
                continue;
            if (change.state == member_state::excluded)
                ++exclusions_of_live;
            if (change.state == member_state::suspect)
                ++suspicions_of_live;
        }
        for (const membership_send& sent : actions.sends)
            transmit(from, sent);
    }

    void transmit(const node& from, const membership_send& sent)
    {
        const std::size_t size = encoded_size(sent.message);
        ++messages;
        bytes += size;
        largest_message = std::max<std::uint64_t>(largest_message, size);
        const auto to = index_.find(sent.host);
        if (to == index_.end())
            return;
        const bool same_region = nodes_[to->second].region == from.region;
        const double random_value =
            std::uniform_real_distribution<double>()(random_);
        if (random_value < faults.loss ||
            (faults.are_regions_partitioned && !same_region))
            return;
        const std::chrono::milliseconds latency(
            same_region ? 1 + random_() % 3 : 80 + random_() % 10);
        in_transit_.push(
            {now + latency, ++last_packet_number_, to->second, sent.message});
    }

    void deliver()
    {
        packet next = in_transit_.top();
        in_transit_.pop();
        if (faults.drop_incarnations)
        {
            next.message.sender_incarnation = 0;
            for (member_rumour& rumour : next.message.rumours)
                rumour.incarnation = 0;
        }
        node& to = nodes_[next.to];
        if (to.crashed)
            return;
        if (now < to.paused_until)
        {
            // The message waits in the socket's receive buffer.
            packet delayed = next;
            delayed.arrival = to.paused_until + std::chrono::milliseconds(1);
            in_transit_.push(delayed);
            return;
        }
        perform(to, to.view->received(next.message, now));
    }

    membership_settings settings_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> index_;
    std::priority_queue<packet> in_transit_;
    std::uint64_t last_packet_number_ = 0;
};

} // namespace hibiscusferry

#endif
