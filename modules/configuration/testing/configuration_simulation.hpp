#ifndef HIBISCUSFERRY_CONFIGURATION_TESTING_CONFIGURATION_SIMULATION_HPP
#define HIBISCUSFERRY_CONFIGURATION_TESTING_CONFIGURATION_SIMULATION_HPP

#include "configuration/testing/simulated_fleet.hpp"
#include <map>
#include <set>
#include <string>
#include <vector>

namespace hibiscusferry::testing
{

/** Statistics and invariant violations of one seeded run. */
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

/** Simulates concurrent operators, network partitions and restarts in a fleet
    and checks the invariants. */
class configuration_simulation
{
public:
    static constexpr std::chrono::seconds bound{13};

    explicit configuration_simulation(
        std::uint64_t seed, fleet_fault injected_fault = fleet_fault::none)
        : random_(seed)
        , fleet_(events_, random_, settings_with_fault(injected_fault))
    {
    }

    configuration_report run()
    {
        const time_point begin = events_.now();
        schedule_changes();
        schedule_faults();
        while (events_.now() < begin + workload_duration)
        {
            events_.run_until(events_.now() + std::chrono::milliseconds(500));
            check_hosts();
        }
        stop_faults();
        events_.run_until(events_.now() + settling_duration);
        check_final_state();
        return report_;
    }

private:
    static constexpr std::chrono::seconds workload_duration{90};
    static constexpr std::chrono::seconds settling_duration{30};
    static constexpr std::size_t service_count = 2;

    static fleet_settings settings_with_fault(fleet_fault injected_fault)
    {
        fleet_settings settings;
        settings.hosts = 10;
        settings.injected_fault = injected_fault;
        return settings;
    }

    void breach(const std::string& violation, const std::string& subject)
    {
        report_.breaches.push_back(violation + ": " + subject);
    }

    void schedule_changes()
    {
        const std::size_t count = 10 + random_.below(15);
        for (std::size_t index = 0; index < count; ++index)
        {
            events_.after(random_.between(2000, 60000),
                          [this, index] { request(index); });
        }
    }

    /** Requests a change based on the current document of a random host. A
        third of the changes are requested twice, each time at a random
        host. */
    void request(std::size_t index)
    {
        document_change change;
        change.service =
            "service-" + std::to_string(random_.below(service_count));
        change.change_id = "change-" + std::to_string(index);
        change.author = "operator";
        change.text = "text of " + change.change_id;
        const document_record* const active =
            fleet_.replica(random_.below(fleet_.size()))
                .document(change.service);
        change.expected_version = active == nullptr ? 0 : active->version;
        changes_[change.change_id] = change;
        const std::size_t request_count = random_.chance(33) ? 2 : 1;
        if (request_count > 1)
            duplicate_requests_.insert(change.change_id);
        for (std::size_t attempt = 0; attempt < request_count; ++attempt)
        {
            const std::size_t host_index = random_.below(fleet_.size());
            events_.after(random_.between(0, 1500),
                          [this, host_index, change, attempt]
                          {
                              fleet_.request(host_index,
                                             change.change_id + "#" +
                                                 std::to_string(attempt),
                                             change);
                          });
        }
    }

    void schedule_faults()
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
        const std::size_t restarted_host = random_.below(fleet_.size());
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            const bool is_first_region =
                fleet_.region(host) == fleet_.region(0);
            if (kind == 0) // all hosts lose the store
                fleet_.cut_store(host, begins);
            if (kind == 1 && is_first_region) // one region loses the store
                fleet_.cut_store(host, begins);
            if (kind == 2 &&
                is_first_region) // and the connection to other regions
            {
                fleet_.cut_store(host, begins);
                fleet_.set_group(host, begins ? 1 : 0);
            }
            if (kind == 3 &&
                host % 3 == 0) // some hosts are isolated from the rest
            {
                fleet_.cut_store(host, begins);
                fleet_.set_group(host, begins ? 2 : 0);
            }
        }
        if (kind == 4 && begins)
            fleet_.restart(restarted_host);
    }

    void stop_faults()
    {
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            fleet_.cut_store(host, false);
            fleet_.set_group(host, 0);
        }
        fleet_.set_faulty(false);
    }

    // ====================================================================
    // Invariants
    // ====================================================================

    const document_change& change_of(const change_response& answer) const
    {
        return changes_.at(
            answer.request_id.substr(0, answer.request_id.find('#')));
    }

    /** Checks that each host in rotation has all changes that were accepted
        longer ago than the staleness bound. */
    void check_hosts()
    {
        for (std::size_t host = 0; host < fleet_.size(); ++host)
        {
            if (!fleet_.replica(host).is_in_rotation())
            {
                ++report_.checks_out_of_rotation;
                continue;
            }
            for (const simulated_fleet::recorded_response& recorded :
                 fleet_.responses())
            {
                const bool is_due =
                    recorded.answer.verdict == change_verdict::accepted &&
                    recorded.moment + bound < events_.now();
                if (!is_due)
                    continue;
                const document_record* const active =
                    fleet_.replica(host).document(
                        change_of(recorded.answer).service);
                if (active == nullptr ||
                    active->version < recorded.answer.version)
                    breach("an accepted change is not active",
                           recorded.answer.request_id + " at host " +
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

    void check_final_state()
    {
        std::map<document_version, std::string> winners;
        for (const simulated_fleet::recorded_response& recorded :
             fleet_.responses())
            check_response(recorded.answer, winners);
        if (fleet_.version_regressions() != 0)
            breach("the version of a document decreased", "");
        check_convergence();
    }

    void check_response(const change_response& answer,
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
                breach("two changes committed one version", change.change_id);
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
            // A duplicate of the request may have written the change.
            if (is_written(change) &&
                duplicate_requests_.count(change.change_id) == 0)
                breach("a change reported as not written was written",
                       change.change_id);
            return;
        case change_verdict::change_id_reused:
            breach("a change id was wrongly reported as reused",
                   change.change_id);
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
                breach("a host did not recover", std::to_string(host));
            for (const std::pair<const std::string, document_version>& entry :
                 index.versions)
            {
                const document_record* const active =
                    replica.document(entry.first);
                if (active == nullptr || active->version != entry.second)
                    breach("a host does not have the latest document",
                           std::to_string(host));
            }
        }
    }

    event_queue events_;
    random_source random_;
    simulated_fleet fleet_;
    std::map<std::string, document_change> changes_;
    std::set<std::string> duplicate_requests_;
    configuration_report report_;
};

} // namespace hibiscusferry::testing

#endif
