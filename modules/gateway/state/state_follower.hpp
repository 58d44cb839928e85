#ifndef HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP
#define HIBISCUSFERRY_GATEWAY_STATE_STATE_FOLLOWER_HPP

#include "gateway/protocol/fleet_records.hpp"
#include "gateway/state/fleet_state.hpp"
#include "gateway/state/host_roster.hpp"
#include "gateway/state/known_rows.hpp"
#include "gateway/state/store_link.hpp"
#include <memory>

namespace hibiscusferry
{

/** Keeps the fleet_state up to date.

    The configuration is waited for at the store, so that a change is in force
    within milliseconds. The targets' rows change with every heartbeat; they
    are asked for about once a second, which keeps the store's load flat and
    is well within the time that leaving targets go on serving. Each host
    writes a row of its own, by which the others count the live hosts. While
    the store does not answer this host, a peer is asked for what it knows.
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

    /** The live hosts' names, this one included. */
    std::vector<std::string> live_host_names() const;

    store_link& link();

    /** Tells the roster of other hosts that this one stops serving. */
    void announce_stop();

private:
    void follow_configuration(boost::asio::yield_context yield);
    void follow_targets(boost::asio::yield_context yield);
    void follow_hosts(boost::asio::yield_context yield);
    void ask_peers(boost::asio::yield_context yield);

    result<void> read_configuration(boost::asio::yield_context yield);
    result<void> read_targets(boost::asio::yield_context yield);
    void take_configuration_row(const table_row& row,
                                const std::string& source);
    void take_target_changes(const table_changes& changes);
    void take_target_snapshot(const std::string& source);
    void take_peer_news(const peer_news& news, const std::string& peer);
    void write_own_row();
    void read_roster();
    void serve_peer(http_exchange& exchange, boost::asio::yield_context yield);

    process_core& core_;
    fleet_state& fleet_;
    sources from_;
    store_link link_;
    known_rows known_;
    /** Version up to which the configuration's table was followed. */
    row_version configuration_after_ = 0;
    time_point targets_current_at_{};
    host_roster roster_;
    std::unique_ptr<http_server> peer_server_;
    bool is_serving_ = true;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
