#ifndef HIBISCUSFERRY_CONFIGURATION_TESTING_CONFIGURATION_SIMULATION_HPP
#define HIBISCUSFERRY_CONFIGURATION_TESTING_CONFIGURATION_SIMULATION_HPP

#include "configuration/testing/simulated_fleet.hpp"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry::testing
{

/** What happened in one seeded run, and what was wrong with it. */
struct configuration_report
{
    std::size_t accepted = 0;
    std::size_t committed = 0;
    std::size_t conflicts = 0;
    std::size_t not_written = 0;
    std::size_t unknown = 0;
    std::size_t checks_out_of_rotation = 0;
    std::vector<std::string> breaches;
};

/** Racing operators, cut links and restarts over a simulated fleet, and the
    check of what must always hold. */
class configuration_simulation
{
public:
    static constexpr std::chrono::seconds bound{13};

    explicit configuration_simulation(std::uint64_t seed,
                                      fleet_fault plant = fleet_fault::none)
        : random_(seed)
        , fleet_(events_, random_, settings_with(plant))
    {
    }

    configuration_report run()
    {
        const time_point begin = events_.now();
        plan_changes();
        plan_faults();
        while (events_.now() < begin + busy_time)
        {
            events_.run_until(events_.now() + std::chrono::milliseconds(500));
            check_hosts();
        }
        heal();
        events_.run_until(events_.now() + settling_time);
        check_end();
        return report_;
    }

private:
    static constexpr std::chrono::seconds busy_time{90};
    static constexpr std::chrono::seconds settling_time{30};
    static constexpr std::size_t service_count = 2;

    static fleet_settings settings_with(fleet_fault plant)
    {
        fleet_settings settings;
        settings.hosts = 10;
        settings.plant = plant;
        return settings;
    }

    void breach(const std::string& what, const std::string& subject)
    {
        report_.breaches.push_back(what + ": " + subject);
    }

    void plan_changes()
    {
        const std::size_t count = 10 + random_.below(15);
        for (std::size_t index = 0; index < count; ++index)
        {
            events_.after(random_.between(2000, 60000),
                          [this, index] { request(index); });
        }
    }

    /** An operator who starts from what some host now has; a third ask
        twice, at two hosts. */
    void request(std::size_t index)
    {
        document_change change;
        change.service =
            "service-" + std::to_string(random_.below(service_count));
        change.change_id = "change-" + std::to_string(index);
        change.author = "operator";
        change.text = "text of " + change.change_id;
        const document_record* const held =
            fleet_.replica(random_.below(fleet_.size()))
                .document(change.service);
        change.expected_version = held == nullptr ? 0 : held->version;
        changes_[change.change_id] = change;
        const std::size_t times = random_.chance(33) ? 2 : 1;
        if (times > 1)
            asked_twice_.insert(change.change_id);
        for (std::size_t time = 0; time < times; ++time)
        {
            const std::size_t at = random_.below(fleet_.size());
            events_.after(random_.between(0, 1500),
                          [this, at, change, time] {
                              fleet_.request(at,
                                             change.change_id + "#" +
                                                 std::to_string(time),
                                             change);
                          });
        }
    }

    void plan_faults()
    {
        const std::size_t count = 2 + random_.below(5);
        for (std::size_t index = 0; index < count; ++index)
        {
            const std::chrono::milliseconds start =
                random_.between(3000, 60000);
            const std::chrono::milliseconds length =
                random_.between(1000, 40000);
            const std::uint64_t kind = random_.below(5);
            events_.after(start, [this, kind] { fault(kind, true); });
            events_.after(start + length, [this, kind] { fault(kind, false); });
        }
    }

    void fault(std::uint64_t kind, bool begins)
    {
        const std::size_t some = random_.below(fleet_.size());
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            const bool is_first_region =
                fleet_.region(host) == fleet_.region(0);
            if (kind == 0) // the store is down for all
                fleet_.cut_store(host, begins);
            if (kind == 1 && is_first_region) // a region loses the store
                fleet_.cut_store(host, begins);
            if (kind == 2 && is_first_region) // ... and the other region
            {
                fleet_.cut_store(host, begins);
                fleet_.set_group(host, begins ? 1 : 0);
            }
            if (kind == 3 && host % 3 == 0) // a part is cut off from all
            {
                fleet_.cut_store(host, begins);
                fleet_.set_group(host, begins ? 2 : 0);
            }
        }
        if (kind == 4 && begins)
            fleet_.restart(some);
    }

    void heal()
    {
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            fleet_.cut_store(host, false);
            fleet_.set_group(host, 0);
        }
        fleet_.set_faulty(false);
    }

    // ====================================================================
    // What must always hold
    // ====================================================================

    const document_change& change_of(const change_response& answer) const
    {
        return changes_.at(
            answer.request_id.substr(0, answer.request_id.find('#')));
    }

    /** A host in rotation has what was accepted longer ago than the bound. */
    void check_hosts()
    {
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            if (!fleet_.replica(host).is_in_rotation())
            {
                ++report_.checks_out_of_rotation;
                continue;
            }
            for (const simulated_fleet::recorded_response& told : fleet_.told())
            {
                const bool is_due =
                    told.answer.verdict == change_verdict::accepted &&
                    told.moment + bound < events_.now();
                if (!is_due)
                    continue;
                const document_record* const held =
                    fleet_.replica(host).document(
                        change_of(told.answer).service);
                if (held == nullptr || held->version < told.answer.version)
                    breach("an accepted change is not in force",
                           told.answer.request_id + " at host " +
                               std::to_string(host));
            }
        }
    }

    bool is_written(const document_change& change) const
    {
        return fleet_.table()
            .read(document_change_key(change.service, change.change_id))
            .has_value();
    }

    void check_end()
    {
        std::map<document_version, std::string> winners;
        for (const simulated_fleet::recorded_response& told : fleet_.told())
            check_told(told.answer, winners);
        if (fleet_.steps_back() != 0)
            breach("a document stepped back", "");
        check_convergence();
    }

    void check_told(const change_response& answer,
                    std::map<document_version, std::string>& winners)
    {
        const document_change& change = change_of(answer);
        switch (answer.verdict)
        {
        case change_verdict::accepted:
        case change_verdict::committed:
        {
            const std::string& winner =
                winners.emplace(answer.version, change.change_id).first->second;
            if (winner != change.change_id)
                breach("two operators won a version", change.change_id);
            if (!is_written(change))
                breach("a committed change was lost", change.change_id);
            ++(answer.verdict == change_verdict::accepted ? report_.accepted
                                                          : report_.committed);
            return;
        }
        case change_verdict::conflict:
            ++report_.conflicts;
            if (answer.current.version == change.expected_version)
                breach("a conflict with the expected version",
                       change.change_id);
            if (is_written(change))
                breach("a refused change was written", change.change_id);
            return;
        case change_verdict::not_written:
            ++report_.not_written;
            // Asked for twice, it may have been written the other time.
            if (is_written(change) && asked_twice_.count(change.change_id) == 0)
                breach("a change told as not written was", change.change_id);
            return;
        case change_verdict::change_id_reused:
            breach("a change id was taken for reused", change.change_id);
            return;
        case change_verdict::unknown:
            ++report_.unknown;
            return;
        }
    }

    void check_convergence()
    {
        const result<table_row> row = fleet_.table().read(document_index_key);
        if (!row)
            return;
        const document_index index =
            document_index::parse(row_stamp::parse(row.value().value).payload)
                .value();
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            const document_replica& replica = fleet_.replica(host);
            if (replica.rotation() != rotation_state::current ||
                replica.revision() != index.revision)
                breach("a host did not return", std::to_string(host));
            for (const std::pair<const std::string, document_version>& entry :
                 index.versions)
            {
                const document_record* const held =
                    replica.document(entry.first);
                if (held == nullptr || held->version != entry.second)
                    breach("a host does not have the newest document",
                           std::to_string(host));
            }
        }
    }

    event_queue events_;
    random_source random_;
    simulated_fleet fleet_;
    std::map<std::string, document_change> changes_;
    std::set<std::string> asked_twice_;
    configuration_report report_;
};

} // namespace hibiscusferry::testing

#endif
