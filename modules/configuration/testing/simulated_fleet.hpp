#ifndef HIBISCUSFERRY_CONFIGURATION_TESTING_SIMULATED_FLEET_HPP
#define HIBISCUSFERRY_CONFIGURATION_TESTING_SIMULATED_FLEET_HPP

#include "claims/testing/event_queue.hpp"
#include "configuration/configuration.hpp"
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace hibiscusferry::testing
{

/** Faults planted in the plumbing to see that a check can fail. */
enum class fleet_fault
{
    none,
    ignores_conditions, ///< the table commits every transaction
    forgets_age,        ///< peers pass confirmations on as if fresh
    confirms_for_hosts  ///< hosts are taken to hold what they were not asked
};

/** How a simulated fleet is built and how badly it is treated. */
struct fleet_settings
{
    std::size_t hosts = 6;
    std::size_t regions = 2;
    std::uint64_t message_loss_percent = 5;
    std::chrono::milliseconds store_delay{10};
    std::uint64_t store_loss_percent = 5;
    fleet_fault plant = fleet_fault::none;
};

/** Traffic of the fleet so far. Bytes are payloads plus the headers of
    frame, TCP and IP. */
struct fleet_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t store_reads = 0;
};

/** Hosts with the real replicas and editors over a table and a network, in
    virtual time. Messages are lost and delayed; links to the store and
    between regions are cut; hosts restart with nothing. */
class simulated_fleet
{
public:
    static constexpr std::size_t header_bytes = 66;

    simulated_fleet(event_queue& events, random_source& random,
                    const fleet_settings& settings)
        : events_(events)
        , random_(random)
        , settings_(settings)
    {
        for (std::size_t index = 0; index < settings_.hosts; ++index)
        {
            host added;
            added.name = "host-" + std::to_string(index);
            added.region =
                "region-" + std::to_string(index % settings_.regions);
            hosts_.push_back(std::move(added));
        }
        for (std::size_t index = 0; index < settings_.hosts; ++index)
            restart(index);
    }

    /** Replaces a host's process by one that knows nothing. */
    void restart(std::size_t index)
    {
        host& subject = hosts_[index];
        ++subject.life;
        subject.replica = std::make_unique<document_replica>(
            subject.name, subject.region, random_.below(1U << 30),
            replica_limits());
        subject.editor = std::make_unique<document_editor>(
            subject.name + "." + std::to_string(subject.life), editor_limits());
        subject.replica->fleet_changed(fleet());
        subject.editor->fleet_changed(fleet());
        events_.after(random_.between(0, 999),
                      [this, index, life = subject.life]
                      { tick(index, life); });
    }

    void cut_store(std::size_t index, bool is_cut)
    {
        hosts_[index].is_cut_from_store = is_cut;
    }

    /** Cuts a host from the peers of the other group. */
    void set_group(std::size_t index, std::size_t group)
    {
        hosts_[index].group = group;
    }

    void set_faulty(bool is_faulty)
    {
        is_faulty_ = is_faulty;
    }

    void request(std::size_t index, const std::string& request_id,
                 const document_change& change)
    {
        perform(index, hosts_[index].editor->change_requested(
                           request_id, change, events_.now()));
    }

    std::size_t size() const
    {
        return hosts_.size();
    }

    const document_replica& replica(std::size_t index) const
    {
        return *hosts_[index].replica;
    }

    const std::string& region(std::size_t index) const
    {
        return hosts_[index].region;
    }

    const memory_table& table() const
    {
        return table_;
    }

    const fleet_traffic& traffic() const
    {
        return traffic_;
    }

    struct recorded_response
    {
        time_point moment;
        change_response answer;
    };

    /** What operators were told. */
    const std::vector<recorded_response>& told() const
    {
        return told_;
    }

    /** Versions that a host put in force out of order. */
    std::size_t steps_back() const
    {
        return steps_back_;
    }

private:
    struct host
    {
        std::string name;
        std::string region;
        std::size_t group = 0;
        std::uint64_t life = 0;
        bool is_cut_from_store = false;
        std::unique_ptr<document_replica> replica;
        std::unique_ptr<document_editor> editor;
        std::map<std::pair<std::uint64_t, std::string>, document_version>
            in_force;
    };

    std::vector<fleet_host> fleet() const
    {
        std::vector<fleet_host> listed;
        for (const host& known : hosts_)
            listed.push_back({known.name, known.region});
        return listed;
    }

    std::size_t index_of(const std::string& name) const
    {
        return static_cast<std::size_t>(std::stoul(name.substr(5)));
    }

    void tick(std::size_t index, std::uint64_t life)
    {
        host& subject = hosts_[index];
        if (subject.life != life)
            return;
        std::size_t reachable = 0;
        for (const host& other : hosts_)
        {
            reachable +=
                other.region == subject.region && other.group == subject.group
                    ? 1
                    : 0;
        }
        subject.replica->set_reachable_hosts(reachable);
        perform(index, subject.replica->tick(events_.now()));
        perform(index, subject.editor->tick(events_.now()));
        events_.after(std::chrono::milliseconds(100),
                      [this, index, life] { tick(index, life); });
    }

    /** Delivers a message, or loses it. */
    template <class Handler>
    void send(std::size_t from, std::size_t to, std::size_t payload,
              Handler handler)
    {
        ++traffic_.messages;
        traffic_.bytes += payload + header_bytes;
        const bool is_lost =
            hosts_[from].group != hosts_[to].group ||
            (is_faulty_ && random_.chance(settings_.message_loss_percent));
        if (is_lost)
            return;
        const bool is_slow = is_faulty_ && random_.chance(3);
        const std::uint64_t life = hosts_[to].life;
        events_.after(is_slow ? random_.between(100, 3000)
                              : random_.between(1, 30),
                      [this, to, life, handler]
                      {
                          if (hosts_[to].life == life)
                              handler();
                      });
    }

    void perform(std::size_t index, const std::vector<replica_action>& actions)
    {
        for (const replica_action& action : actions)
            std::visit([this, index](const auto& wanted)
                       { act(index, wanted); },
                       action);
    }

    void perform(std::size_t index, const std::vector<editor_action>& actions)
    {
        for (const editor_action& action : actions)
            std::visit([this, index](const auto& wanted)
                       { act(index, wanted); },
                       action);
    }

    void act(std::size_t index, const read_document_row& wanted)
    {
        read(index, wanted.key,
             [this, index, key = wanted.key](const result<table_row>& row) {
                 perform(index, hosts_[index].replica->row_read(key, row,
                                                                events_.now()));
             });
    }

    void act(std::size_t index, const send_query& wanted)
    {
        const std::size_t peer = index_of(wanted.peer);
        send(index, peer, sizeof(document_query),
             [this, index, peer, query = wanted.query]
             { answer_query(index, peer, query); });
    }

    void answer_query(std::size_t asker, std::size_t peer,
                      const document_query& query)
    {
        document_reply reply =
            hosts_[peer].replica->answer_query(query, events_.now());
        if (settings_.plant == fleet_fault::forgets_age)
            reply.confirmation_age = std::chrono::milliseconds(0);
        std::size_t payload = 32;
        for (const document_record& document : reply.documents)
            payload += document.row_text().size();
        send(peer, asker, payload,
             [this, asker, peer, reply]
             {
                 perform(asker, hosts_[asker].replica->reply_received(
                                    hosts_[peer].name, reply, events_.now()));
             });
    }

    void act(std::size_t index, const document_activated& wanted)
    {
        host& subject = hosts_[index];
        document_version& version =
            subject.in_force[{subject.life, wanted.document.service}];
        steps_back_ += wanted.document.version <= version ? 1 : 0;
        version = wanted.document.version;
    }

    void act(std::size_t, const rotation_changed&)
    {
    }

    void act(std::size_t, const document_event&)
    {
    }

    void act(std::size_t, const change_response& answer)
    {
        told_.push_back({events_.now(), answer});
    }

    void act(std::size_t index, const query_host_revision& wanted)
    {
        const std::size_t peer = index_of(wanted.host);
        if (settings_.plant == fleet_fault::confirms_for_hosts)
        {
            events_.after(std::chrono::milliseconds(1),
                          [this, index, name = wanted.host]
                          { confirm(index, name, ~document_version{0}); });
            return;
        }
        send(index, peer, 8,
             [this, index, peer]
             {
                 const document_version revision =
                     hosts_[peer].replica->revision();
                 send(peer, index, 16,
                      [this, index, peer, revision]
                      { confirm(index, hosts_[peer].name, revision); });
             });
    }

    void confirm(std::size_t index, const std::string& name,
                 document_version revision)
    {
        perform(index, hosts_[index].editor->host_revision_reported(
                           name, revision, events_.now()));
    }

    void act(std::size_t index, const editor_step& wanted)
    {
        const std::string id = wanted.request_id;
        if (const read_step* step = std::get_if<read_step>(&wanted.step))
        {
            read(index, step->key,
                 [this, index, id](const result<table_row>& row)
                 {
                     perform(index, hosts_[index].editor->read_completed(
                                        id, row, events_.now()));
                 });
            return;
        }
        commit(index, id, std::get<commit_step>(wanted.step).transaction);
    }

    template <class Handler>
    void read(std::size_t index, const std::string& key, Handler handler)
    {
        ++traffic_.store_reads;
        const std::uint64_t life = hosts_[index].life;
        const bool fails =
            hosts_[index].is_cut_from_store ||
            (is_faulty_ && random_.chance(settings_.store_loss_percent));
        if (fails)
        {
            events_.after(std::chrono::seconds(2),
                          [this, index, life, handler]
                          {
                              if (hosts_[index].life == life)
                                  handler(make_error_code(
                                      platform_error::outcome_unknown));
                          });
            return;
        }
        events_.after(settings_.store_delay,
                      [this, index, life, key, handler]
                      {
                          const result<table_row> row = table_.read(key);
                          events_.after(settings_.store_delay,
                                        [this, index, life, row, handler]
                                        {
                                            if (hosts_[index].life == life)
                                                handler(row);
                                        });
                      });
    }

    void commit(std::size_t index, const std::string& id,
                table_transaction transaction)
    {
        if (settings_.plant == fleet_fault::ignores_conditions)
            transaction.conditions.clear();
        const std::uint64_t life = hosts_[index].life;
        const auto tell =
            [this, index, life, id](const result<commit_receipt>& receipt)
        {
            if (hosts_[index].life == life)
                perform(index, hosts_[index].editor->commit_completed(
                                   id, receipt, events_.now()));
        };
        const std::uint64_t kind = is_faulty_ ? random_.below(100) : 100;
        const bool arrives = !hosts_[index].is_cut_from_store && kind >= 5;
        const bool is_late = arrives && kind < 15;
        const bool is_lost = arrives && kind >= 15 && kind < 25;
        if (!arrives || is_late || is_lost)
        {
            events_.after(
                std::chrono::milliseconds(600), [tell]
                { tell(make_error_code(platform_error::outcome_unknown)); });
        }
        if (!arrives)
            return;
        events_.after(
            is_late ? random_.between(600, 6000) : settings_.store_delay,
            [this, transaction, tell, is_late, is_lost]
            {
                const commit_receipt receipt = table_.commit(transaction);
                if (is_late || is_lost)
                    return;
                events_.after(settings_.store_delay,
                              [tell, receipt] { tell(receipt); });
            });
    }

    event_queue& events_;
    random_source& random_;
    fleet_settings settings_;
    memory_table table_;
    std::vector<host> hosts_;
    bool is_faulty_ = true;
    fleet_traffic traffic_;
    std::vector<recorded_response> told_;
    std::size_t steps_back_ = 0;
};

} // namespace hibiscusferry::testing

#endif
