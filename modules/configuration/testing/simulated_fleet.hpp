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

/** Faults injected into the fleet to verify that the checks detect them. */
enum class fleet_fault
{
    none,
    ignores_conditions, ///< the table commits every transaction
    forgets_age,        ///< replies contain a confirmation age of zero
    confirms_for_hosts  ///< hosts confirm revisions without being queried
};

/** Size of a simulated fleet and rates of its faults. */
struct fleet_settings
{
    std::size_t hosts = 6;
    std::size_t regions = 2;
    std::uint64_t message_loss_percent = 5;
    std::chrono::milliseconds store_delay{10};
    std::uint64_t store_loss_percent = 5;
    fleet_fault injected_fault = fleet_fault::none;
};

/** Total traffic of the fleet. Bytes include payloads and the frame, TCP and
    IP headers. */
struct fleet_traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t store_reads = 0;
};

/** Hosts with the production replicas and editors, connected to a table and a
    network in virtual time. Messages can be lost and delayed, links to the
    store and between groups of hosts can be cut, and hosts can be restarted
    without their state. */
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

    /** Restarts a host's process without its state. */
    void restart(std::size_t index)
    {
        host& subject = hosts_[index];
        ++subject.incarnation;
        subject.replica = std::make_unique<document_replica>(
            subject.name, subject.region, random_.below(1U << 30),
            replica_limits());
        subject.editor = std::make_unique<document_editor>(
            subject.name + "." + std::to_string(subject.incarnation),
            editor_limits());
        subject.replica->fleet_changed(listed_hosts());
        subject.editor->fleet_changed(listed_hosts());
        events_.after(random_.between(0, 999),
                      [this, index, incarnation = subject.incarnation]
                      { tick(index, incarnation); });
    }

    void cut_store(std::size_t index, bool is_cut)
    {
        hosts_[index].is_cut_from_store = is_cut;
    }

    /** Moves a host to a network partition. Hosts reach only peers of the same
        group. */
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

    /** @returns the responses sent to operators */
    const std::vector<recorded_response>& responses() const
    {
        return responses_;
    }

    /** @returns the number of documents that a host activated although their
                 version was not newer */
    std::size_t version_regressions() const
    {
        return version_regressions_;
    }

private:
    struct host
    {
        std::string name;
        std::string region;
        std::size_t group = 0;
        std::uint64_t incarnation = 0;
        bool is_cut_from_store = false;
        std::unique_ptr<document_replica> replica;
        std::unique_ptr<document_editor> editor;
        std::map<std::pair<std::uint64_t, std::string>, document_version>
            active_versions;
    };

    std::vector<fleet_host> listed_hosts() const
    {
        std::vector<fleet_host> entries;
        for (const host& listed : hosts_)
            entries.push_back({listed.name, listed.region});
        return entries;
    }

    std::size_t index_of(const std::string& name) const
    {
        return static_cast<std::size_t>(std::stoul(name.substr(5)));
    }

    void tick(std::size_t index, std::uint64_t incarnation)
    {
        host& subject = hosts_[index];
        if (subject.incarnation != incarnation)
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
                      [this, index, incarnation] { tick(index, incarnation); });
    }

    /** Delivers a message, with a random delay, or loses it. */
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
        const std::uint64_t incarnation = hosts_[to].incarnation;
        events_.after(is_slow ? random_.between(100, 3000)
                              : random_.between(1, 30),
                      [this, to, incarnation, handler]
                      {
                          if (hosts_[to].incarnation == incarnation)
                              handler();
                      });
    }

    void perform(std::size_t index, const std::vector<replica_action>& actions)
    {
        for (const replica_action& action : actions)
            std::visit([this, index](const auto& requested)
                       { act(index, requested); },
                       action);
    }

    void perform(std::size_t index, const std::vector<editor_action>& actions)
    {
        for (const editor_action& action : actions)
            std::visit([this, index](const auto& requested)
                       { act(index, requested); },
                       action);
    }

    void act(std::size_t index, const read_document_row& requested)
    {
        read(index, requested.key,
             [this, index, key = requested.key](const result<table_row>& row) {
                 perform(index, hosts_[index].replica->row_read(key, row,
                                                                events_.now()));
             });
    }

    void act(std::size_t index, const send_query& requested)
    {
        const std::size_t peer = index_of(requested.peer);
        send(index, peer, sizeof(document_query),
             [this, index, peer, query = requested.query]
             { answer_query(index, peer, query); });
    }

    void answer_query(std::size_t requester, std::size_t peer,
                      const document_query& query)
    {
        document_reply reply =
            hosts_[peer].replica->answer_query(query, events_.now());
        if (settings_.injected_fault == fleet_fault::forgets_age)
            reply.confirmation_age = std::chrono::milliseconds(0);
        std::size_t payload = 32;
        for (const document_record& document : reply.documents)
            payload += document.row_text().size();
        send(peer, requester, payload,
             [this, requester, peer, reply]
             {
                 perform(requester,
                         hosts_[requester].replica->reply_received(
                             hosts_[peer].name, reply, events_.now()));
             });
    }

    void act(std::size_t index, const document_activated& requested)
    {
        host& subject = hosts_[index];
        document_version& version = subject.active_versions[{
            subject.incarnation, requested.document.service}];
        version_regressions_ += requested.document.version <= version ? 1 : 0;
        version = requested.document.version;
    }

    void act(std::size_t, const rotation_changed&)
    {
    }

    void act(std::size_t, const document_event&)
    {
    }

    void act(std::size_t, const change_response& answer)
    {
        responses_.push_back({events_.now(), answer});
    }

    void act(std::size_t index, const query_host_revision& requested)
    {
        const std::size_t peer = index_of(requested.host);
        if (settings_.injected_fault == fleet_fault::confirms_for_hosts)
        {
            events_.after(std::chrono::milliseconds(1),
                          [this, index, name = requested.host]
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

    void act(std::size_t index, const editor_step& requested)
    {
        const std::string id = requested.request_id;
        if (const read_step* step = std::get_if<read_step>(&requested.step))
        {
            read(index, step->key,
                 [this, index, id](const result<table_row>& row)
                 {
                     perform(index, hosts_[index].editor->read_completed(
                                        id, row, events_.now()));
                 });
            return;
        }
        commit(index, id, std::get<commit_step>(requested.step).transaction);
    }

    template <class Handler>
    void read(std::size_t index, const std::string& key, Handler handler)
    {
        ++traffic_.store_reads;
        const std::uint64_t incarnation = hosts_[index].incarnation;
        const bool fails =
            hosts_[index].is_cut_from_store ||
            (is_faulty_ && random_.chance(settings_.store_loss_percent));
        if (fails)
        {
            events_.after(std::chrono::seconds(2),
                          [this, index, incarnation, handler]
                          {
                              if (hosts_[index].incarnation == incarnation)
                                  handler(make_error_code(
                                      platform_error::outcome_unknown));
                          });
            return;
        }
        events_.after(settings_.store_delay,
                      [this, index, incarnation, key, handler]
                      {
                          const result<table_row> row = table_.read(key);
                          events_.after(settings_.store_delay,
                                        [this, index, incarnation, row, handler]
                                        {
                                            if (hosts_[index].incarnation ==
                                                incarnation)
                                                handler(row);
                                        });
                      });
    }

    void commit(std::size_t index, const std::string& id,
                table_transaction transaction)
    {
        if (settings_.injected_fault == fleet_fault::ignores_conditions)
            transaction.conditions.clear();
        const std::uint64_t incarnation = hosts_[index].incarnation;
        const auto report = [this, index, incarnation,
                             id](const result<commit_receipt>& receipt)
        {
            if (hosts_[index].incarnation == incarnation)
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
                std::chrono::milliseconds(600), [report]
                { report(make_error_code(platform_error::outcome_unknown)); });
        }
        if (!arrives)
            return;
        events_.after(
            is_late ? random_.between(600, 6000) : settings_.store_delay,
            [this, transaction, report, is_late, is_lost]
            {
                const commit_receipt receipt = table_.commit(transaction);
                if (is_late || is_lost)
                    return;
                events_.after(settings_.store_delay,
                              [report, receipt] { report(receipt); });
            });
    }

    event_queue& events_;
    random_source& random_;
    fleet_settings settings_;
    memory_table table_;
    std::vector<host> hosts_;
    bool is_faulty_ = true;
    fleet_traffic traffic_;
    std::vector<recorded_response> responses_;
    std::size_t version_regressions_ = 0;
};

} // namespace hibiscusferry::testing

#endif
