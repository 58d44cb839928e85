#ifndef HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP

#include "gateway/protocol/fleet_records.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/state/host_roster.hpp"
#include "gateway/state/store_link.hpp"
#include "sharing/sharing.hpp"
#include <memory>

namespace hibiscusferry
{

/** Keeps the fleet_state up to date.

    Three tables are followed: the configuration, the targets, the entry
    hosts. The relay of an availability zone reads them at the table service;
    the other hosts of the zone hear from it how far it has read, and ask it
    for what is new to them. A host whose news grow old, because no relay
    tells it any, reads the table service itself until one does.
*/
class state_follower final : public kernel_service
{
public:
    static constexpr const char* name = "state_follower";

    /** What the follower is made from; all must outlive it. */
    struct sources
    {
        table_feed& feed;
        table_store& store;
        const fleet_records& records;
    };

    state_follower(process_core& core, fleet_state& fleet, const sources& from);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

    // =================================================================
    // For the exchange with other hosts

    host_roster& roster();
    store_link& link();
    const fleet_replicas& replicas() const;

    /** Whether this host reads the table service for its zone. */
    void set_relay(bool is_relay);

    /** A relay has told how far it has read.
        @param as_of  when it was asked
        @returns whether its news are fresh enough to be followed */
    bool apply_positions(const roster_host& relay,
                         const replica_positions& positions, time_point as_of);

    /** Deletes rows of hosts that have ended without a word. */
    void remove_rows(const std::vector<table_row>& rows);

private:
    void follow(fleet_table table, boost::asio::yield_context yield);
    result<void> read(fleet_table table, boost::asio::yield_context yield);
    bool is_due_here(fleet_table table) const;
    std::string store_table(fleet_table table) const;
    std::chrono::milliseconds oldest_news(fleet_table table) const;

    void take(const table_update& told, const std::string& source);
    void apply_configuration(const table_changes& changes,
                             const std::string& source);
    void apply_targets(const table_changes& changes, const std::string& source);
    void apply_hosts(const table_changes& changes, const std::string& source);

    void pull(const roster_host& relay);
    void serve_peer(http_exchange& exchange, boost::asio::yield_context yield);
    void keep_own_row();
    void write_own_row();

    process_core& core_;
    fleet_state& fleet_;
    sources from_;
    store_link link_;
    fleet_replicas replicas_;
    host_roster roster_;
    std::unique_ptr<http_server> peer_server_;
    bool is_relay_ = false;
    bool is_pulling_ = false;
    /** Tables of which a relay's changes did not lead to its copy. */
    std::array<bool, fleet_table_count> wants_whole_{};
    bool is_serving_ = true;
    bool is_stopping_ = false;
    std::optional<time_point> own_row_written_at_;
};

} // namespace hibiscusferry

#endif
