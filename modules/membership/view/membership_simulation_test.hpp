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

/** Faults of the fake network. */
struct membership_faults
{
    double loss = 0;
    bool regions_apart = false;
    /** Planted fault: a message does not say its sender's incarnation. */
    bool drop_incarnations = false;
};

/** Entry hosts in two regions on a fake network in virtual time; used by
    tests and by the bench. */
class membership_simulation
{
public:
    membership_simulation(std::size_t hosts,
                          const membership_settings& settings,
                          std::uint64_t seed)
        : settings_(settings)
        , random_(seed)
    {
        reading.revision = 1;
        for (std::size_t index = 0; index < hosts; ++index)
            reading.hosts.push_back(listing("host-" + std::to_string(index),
                                            index % 2 == 0 ? "r1" : "r2"));
        for (const listed_host& host : reading.hosts)
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
        started.view->apply_host_list(reading, now);
        index_[host.id] = nodes_.size() - 1;
    }

    /** A new reading of the list reaches every host. */
    void publish_list()
    {
        ++reading.revision;
        for (node& each : nodes_)
            each.view->apply_host_list(reading, now);
    }

    void run(std::chrono::milliseconds duration)
    {
        const time_point end = now + duration;
        while (now < end)
        {
            now += std::chrono::milliseconds(10);
            while (!mail_.empty() && mail_.top().arrival <= now)
                deliver();
            for (node& each : nodes_)
                step(each);
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

    /** Hosts up that think `state` of a host. */
    std::size_t count(const std::string& host, member_state state) const
    {
        std::size_t found = 0;
        for (const node& each : nodes_)
        {
            if (each.crashed || each.id == host)
                continue;
            const std::optional<member> known = each.view->find(host);
            found += known && known->state == state ? 1U : 0U;
        }
        return found;
    }

    /** Pairs of hosts up of which the first has excluded the second. */
    std::size_t false_exclusions() const
    {
        std::size_t found = 0;
        for (const node& each : nodes_)
        {
            if (!each.crashed)
                found += count(each.id, member_state::excluded);
        }
        return found;
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
    host_list_snapshot reading;
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t largest_message = 0;
    /** Changes to excluded at hosts that are up, of hosts that are up. */
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

    struct letter
    {
        time_point arrival;
        std::uint64_t order = 0;
        std::size_t to = 0;
        membership_message message;

        bool operator<(const letter& other) const
        {
            return arrival != other.arrival ? other.arrival < arrival
                                            : other.order < order;
        }
    };

    void step(node& each)
    {
        if (each.crashed || now < each.paused_until || now < each.next_tick)
            return;
        each.next_tick = now + std::chrono::milliseconds(100);
        perform(each, each.view->tick(now));
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
            post(from, sent);
    }

    void post(const node& from, const membership_send& sent)
    {
        const std::size_t size = encoded_size(sent.message);
        ++messages;
        bytes += size;
        largest_message = std::max<std::uint64_t>(largest_message, size);
        const auto to = index_.find(sent.host);
        if (to == index_.end())
            return;
        const bool same_region = nodes_[to->second].region == from.region;
        const double draw = std::uniform_real_distribution<double>()(random_);
        if (draw < faults.loss || (faults.regions_apart && !same_region))
            return;
        const std::chrono::milliseconds way(same_region ? 1 + random_() % 3
                                                        : 80 + random_() % 10);
        mail_.push({now + way, ++last_order_, to->second, sent.message});
    }

    void deliver()
    {
        letter next = mail_.top();
        mail_.pop();
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
            // Waits in the socket's buffer.
            letter later = next;
            later.arrival = to.paused_until + std::chrono::milliseconds(1);
            mail_.push(later);
            return;
        }
        perform(to, to.view->received(next.message, now));
    }

    membership_settings settings_;
    std::mt19937_64 random_;
    std::vector<node> nodes_;
    std::map<std::string, std::size_t> index_;
    std::priority_queue<letter> mail_;
    std::uint64_t last_order_ = 0;
};

} // namespace hibiscusferry

#endif
