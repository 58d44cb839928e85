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

/** Entry hosts that limit workspaces together, over fake messages that take
    half a second and may be lost; for tests and benches. Virtual time. */
class fake_share_hosts
{
public:
    /** How long membership takes to notice a lost or new host. */
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

    /** @param loss  the part of the messages that is lost
        @param planted_fault  hosts do not learn how many they are */
    fake_share_hosts(std::size_t count, service_document document, double loss,
                     std::uint64_t seed, bool planted_fault = false)
        : document_(std::move(document))
        , loss_(loss)
        , planted_fault_(planted_fault)
        , random_(seed)
    {
        for (std::size_t index = 0; index < count; ++index)
            add();
        renew_layouts();
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
        for (host& one : hosts_)
            one.limits->hosts_changed(planted_fault_ ? 1 : hosts_.size(), now_);
        hosts_.back().limits->configure(document_, now_);
        layouts_due_ = now_ + detection;
    }

    void lose(std::size_t index)
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

    /** Goes on by half a second; messages of the step before arrive. */
    void step()
    {
        now_ += std::chrono::milliseconds(500);
        ++steps_;
        if (now_ >= layouts_due_)
            renew_layouts();
        deliver();
        for (std::size_t index = 0; index < hosts_.size(); ++index)
        {
            // Not all in the same step.
            if (hosts_[index].alive && (steps_ + index) % 2 == 0)
                send_from(index);
        }
    }

    /** The host that sums a workspace's usage. */
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

    void renew_layouts()
    {
        layouts_due_ = time_point::max();
        std::vector<std::string> connected;
        for (const host& one : hosts_)
        {
            if (one.alive && !one.cut_off)
                connected.push_back(one.id);
        }
        layouts_.clear();
        for (const host& one : hosts_)
        {
            const std::vector<std::string> seen =
                one.cut_off ? std::vector<std::string>{one.id} : connected;
            layouts_.push_back(std::make_unique<share_layout>(
                seen, one.id, planted_fault_ ? 1 : hosts_.size()));
        }
    }

    static std::size_t index_of(const std::string& id)
    {
        return std::stoul(id.substr(5));
    }

    void send_from(std::size_t index)
    {
        host& sender = hosts_[index];
        // A host that membership has not noticed yet has no layout.
        if (index >= layouts_.size())
            return;
        const share_layout& layout = *layouts_[index];
        if ((steps_ / 2 + index) % 2 == 0)
        {
            for (const addressed_report& one :
                 sender.limits->reports(layout, now_))
                send({index, index_of(one.to), true, one.report, {}});
        }
        const share_messages messages = sender.aggregator->tick(layout, now_);
        for (const addressed_report& one : messages.reports)
            send({index, index_of(one.to), true, one.report, {}});
        for (const addressed_response& one : messages.answers)
            send({index, index_of(one.to), false, {}, one.answer});
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
            std::uniform_real_distribution<double> chance(0, 1);
            if (hosts_[sent.from].cut_off || hosts_[sent.to].cut_off ||
                chance(random_) < loss_)
            {
                return;
            }
        }
        on_the_way_.push_back(std::move(sent));
    }

    void deliver()
    {
        std::vector<message> arrived;
        arrived.swap(on_the_way_);
        for (const message& one : arrived)
        {
            host& receiver = hosts_[one.to];
            if (!receiver.alive)
                continue;
            if (one.is_report)
                receiver.aggregator->report(one.report, now_);
            else if (one.answer.to_relay)
                receiver.aggregator->answer(one.answer, now_);
            else
                receiver.limits->answer(one.answer, now_);
        }
    }

    service_document document_;
    double loss_;
    bool planted_fault_;
    std::mt19937_64 random_;
    time_point now_{std::chrono::hours(1)};
    std::uint64_t steps_ = 0;
    time_point layouts_due_ = time_point::max();
    std::vector<host> hosts_;
    std::vector<std::unique_ptr<share_layout>> layouts_;
    std::vector<message> on_the_way_;
};

} // namespace hibiscusferry

#endif
