#ifndef HIBISCUSFERRY_GATEWAY_SHARING_LOAD_EXCHANGE_HPP
#define HIBISCUSFERRY_GATEWAY_SHARING_LOAD_EXCHANGE_HPP

#include "gateway/sharing/datagram_channel.hpp"
#include "gateway/state/state_follower.hpp"
#include "sharing/sharing.hpp"
#include <map>
#include <optional>

namespace hibiscusferry
{

/** Exchanges the load of requests in flight with the other hosts.

    Each host reports its load to the relay of its availability zone, from a few
    up to forty times a second, and receives the load of all other hosts in
    response. The relays report the sums of their zones to each other.
    Messages are sent as datagrams: only the newest load is of use, so lost
    messages are not sent again.
*/
class load_exchange final : public kernel_service
{
public:
    static constexpr const char* name = "load_exchange";

    /** @param datagrams  the channel over which it exchanges messages; must
                          outlive it */
    load_exchange(process_core& core, fleet_state& fleet,
                  state_follower& follower, datagram_channel& datagrams);

    result<void> start() override;
    void stop() override;

    /** The known relays of all zones, including this host if it is one. */
    std::vector<std::string> relays();

    /** The hosts whose loads this host has heard recently, including itself. */
    std::size_t reporting_hosts() const;

private:
    /** The recipient of a report that awaits a response. */
    struct pending_report
    {
        std::string host;
        time_point sent_at{};
    };

    /** Another availability zone and the choice of its relay. */
    struct remote_zone
    {
        relay_selector selector;
        /** The relay that responded last; empty for none. */
        std::string relay;
    };

    void report_loop(boost::asio::yield_context yield);
    void update_candidates();
    void report();
    /** Selects the relay of the own zone, or this host. */
    void update_relay();
    /** Reports to the relays of the other zones.
        @param sum  the load of the own zone */
    void report_to_zones(const aggregated_loads& sum);
    /** Asks the relays of the other zones for their positions, if this host is
        out of date and can't read the store. */
    void ask_other_zones();

    /** Processes a datagram, if it is a sharing_message. */
    bool receive(std::string_view bytes,
                 const boost::asio::ip::udp::endpoint& sender);
    void handle_message(const sharing_message& message,
                        const boost::asio::ip::udp::endpoint& sender);
    void handle_host_report(const sharing_message& message,
                            const boost::asio::ip::udp::endpoint& sender);
    void handle_host_response(const sharing_message& message,
                              const boost::asio::ip::udp::endpoint& sender);
    void handle_zone_report(const sharing_message& message,
                            const boost::asio::ip::udp::endpoint& sender);
    void handle_zone_response(const sharing_message& message,
                              const boost::asio::ip::udp::endpoint& sender);
    /** Removes the observations of engines from a response, unless the report
        contained some. */
    static aggregated_loads response_loads(const sharing_message& report,
                                           aggregated_loads loads);
    std::optional<pending_report>
    find_pending_report(const sharing_message& message);

    void apply(const aggregated_loads& remote_loads);
    void apply_part(const load_part& part);
    aggregated_loads local_loads() const;
    aggregated_loads loads_except(const std::string& host);

    void send_report(sharing_message::kind message_kind,
                     const aggregated_loads& loads, const std::string& host);
    void send(sharing_message::kind message_kind, std::uint64_t number,
              const aggregated_loads& loads,
              const boost::asio::ip::udp::endpoint& to);
    std::chrono::milliseconds report_period() const;

    process_core& core_;
    fleet_state& fleet_;
    state_follower& follower_;
    datagram_channel& datagrams_;
    relay_selector selector_;
    std::map<std::string, remote_zone> zones_;
    load_aggregator aggregator_;
    std::uint64_t last_report_number_ = 0;
    /** Reports that await a response, by number. */
    std::map<std::uint64_t, pending_report> pending_reports_;
    /** Empty if this host is the relay of its zone. */
    std::string current_relay_;
    bool was_relay_ = false;
    std::size_t reporting_hosts_ = 1;
    /** Digest of the host table from which the relay candidates were taken. */
    std::uint64_t host_table_digest_ = 0;
    time_point zones_reported_at_{};
    time_point zones_asked_at_{};
    time_point observations_sent_at_{};
    time_point zone_observations_sent_at_{};
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
