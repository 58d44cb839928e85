#ifndef HIBISCUSFERRY_ADMISSION_SHARE_FAKE_SHARE_HOSTS_HPP
#define HIBISCUSFERRY_ADMISSION_SHARE_FAKE_SHARE_HOSTS_HPP

#include "admission/admission.hpp"
#include <chrono>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace hibiscusferry
{

/** A simulation, for tests and benches, of entry hosts that enforce the limits
    of workspaces together. Time is virtual. Messages take half a second and
    may be lost. */
class fake_share_hosts
{
public:
    /** Time until the membership detects a new or a failed host. */
    static constexpr std::chrono::seconds detection{3};

    struct host
    {
        std::string id;
        std::unique_ptr<workspace_limits> limits;
        std::unique_ptr<share_aggregator> aggregator;
        bool alive = true;
        bool cut_off = false;
        double sent_bytes = 0;
        double received_bytes = 0;
    };

    /** @param loss  the fraction of the messages that is lost
        @param injected_fault  injects a fault: the hosts are configured with a
                              host count of 1 */
    fake_share_hosts(std::size_t count, service_document document, double loss,
                     std::uint64_t seed, bool injected_fault = false)
        : document_(std::move(document))
        , loss_(loss)
        , injected_fault_(injected_fault)
        , random_(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            add();
        update_layouts();
    }

    void add()
    {
        host added;
        added.id = "host-" + std::to_string(hosts_.size());
        const std::uint64_t incarnation = hosts_.size() + 1;
        added.limits =
            std::make_unique<workspace_limits>(added.id, incarnation, now_);
        added.aggregator =
            std::make_unique<share_aggregator>(added.id, incarnation, now_);
        hosts_.push_back(std::move(added));
        for (host& current : hosts_)
            current.limits->hosts_changed(injected_fault_ ? 1 : hosts_.size(),
                                          now_);
        hosts_.back().limits->configure(document_, now_);
        layouts_due_ = now_ + detection;
    }

    void crash(std::size_t index)
    {
        hosts_[index].alive = false;
        layouts_due_ = now_ + detection;
    }

    void cut_off(std::size_t index)
    {
        hosts_[index].cut_off = true;
        layouts_due_ = now_ + detection;
    }

    /** @returns whether the request is admitted */
    bool offer(std::size_t index, const std::string& workspace, double cost)
    {
        return hosts_[index]
            .limits
            ->admit(document_.service, workspace, queue_lane::normal, cost,
                    now_)
            .admitted;
    }

    /** Advances the time by half a second and delivers the messages of the
        previous step. */
    void step()
    {
        now_ += std::chrono::milliseconds(500);
        ++steps_;
        if (now_ >= layouts_due_)
            update_layouts();
        deliver();
        for (std::size_t index = 0; index < hosts_.size(); ++index)
        {
            // The hosts alternate between steps.
            if (hosts_[index].alive && (steps_ + index) % 2 == 0)
                send_from(index);
        }
    }

    /** Returns the index of the host that aggregates a workspace's usage. */
    std::size_t owner_of(const std::string& workspace) const
    {
        const share_key key =
            share_key_of(document_.service, workspace, queue_lane::normal);
        return index_of(layouts_[first_connected()]->owner_of(key));
    }

    std::vector<host>& hosts()
    {
        return hosts_;
    }

    time_point now() const
    {
        return now_;
    }

private:
    struct message
    {
        std::size_t from = 0;
        std::size_t to = 0;
        bool is_report = false;
        usage_report report;
        demand_response answer;
    };

    std::size_t first_connected() const
    {
        std::size_t index = 0;
        while (!hosts_[index].alive || hosts_[index].cut_off)
            ++index;
        return index;
    }

    void update_layouts()
    {
        layouts_due_ = time_point::max();
        std::vector<std::string> connected;
        for (const host& current : hosts_)
        {
            if (current.alive && !current.cut_off)
                connected.push_back(current.id);
        }
        layouts_.clear();
        for (const host& current : hosts_)
        {
            const std::vector<std::string> reachable =
                current.cut_off ? std::vector<std::string>{current.id}
                                : connected;
            layouts_.push_back(std::make_unique<share_layout>(
                reachable, current.id, injected_fault_ ? 1 : hosts_.size()));
        }
    }

    static std::size_t index_of(const std::string& id)
    {
        return std::stoul(id.substr(5));
    }

    void send_from(std::size_t index)
    {
        host& sender = hosts_[index];
        // A host that the membership has not detected yet has no layout.
        if (index >= layouts_.size())
            return;
        const share_layout& layout = *layouts_[index];
        if ((steps_ / 2 + index) % 2 == 0)
        {
            for (const addressed_report& addressed :
                 sender.limits->reports(layout, now_))
                send({index,
                      index_of(addressed.to),
                      true,
                      addressed.report,
                      {}});
        }
        const share_messages messages = sender.aggregator->tick(layout, now_);
        for (const addressed_report& addressed : messages.reports)
            send({index, index_of(addressed.to), true, addressed.report, {}});
        for (const addressed_response& addressed : messages.answers)
            send({index, index_of(addressed.to), false, {}, addressed.answer});
    }

    void send(message sent)
    {
        if (sent.from != sent.to)
        {
            const double bytes = static_cast<double>(
                share_transport_bytes + (sent.is_report
                                             ? encoded_bytes(sent.report)
                                             : encoded_bytes(sent.answer)));
            hosts_[sent.from].sent_bytes += bytes;
            hosts_[sent.to].received_bytes += bytes;
            std::uniform_real_distribution<double> uniform(0, 1);
            if (hosts_[sent.from].cut_off || hosts_[sent.to].cut_off ||
                uniform(random_) < loss_)
            {
                return;
            }
        }
        in_transit_.push_back(std::move(sent));
    }

    void deliver()
    {
        std::vector<message> arrived;
        arrived.swap(in_transit_);
        for (const message& delivered : arrived)
        {
            host& receiver = hosts_[delivered.to];
            if (!receiver.alive)
                continue;
            if (delivered.is_report)
                receiver.aggregator->report(delivered.report, now_);
            else if (delivered.answer.to_relay)
                receiver.aggregator->answer(delivered.answer, now_);
            else
                receiver.limits->answer(delivered.answer, now_);
        }
    }

    service_document document_;
    double loss_;
    bool injected_fault_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t steps_ = 0;
    time_point layouts_due_ = time_point::max();
    std::vector<host> hosts_;
    std::vector<std::unique_ptr<share_layout>> layouts_;
    std::vector<message> in_transit_;
};

} // namespace hibiscusferry

#endif
