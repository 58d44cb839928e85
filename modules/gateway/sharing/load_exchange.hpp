#ifndef HIBISCUSFERRY_GATEWAY_SHARING_LOAD_EXCHANGE_HPP
#define HIBISCUSFERRY_GATEWAY_SHARING_LOAD_EXCHANGE_HPP

#include "gateway/state/state_follower.hpp"
#include "sharing/sharing.hpp"
#include <boost/asio/ip/udp.hpp>
#include <map>
#include <optional>

namespace hibiscusferry
{

/** Tells the other hosts what this one has under way, and hears the same of
    them.

    Each host reports to the relay of its availability zone, a few to some
    twenty-five times a second, and gets the load of all others in return. The
    relays report the sums of their zones to each other. Datagrams: only the
    newest load is of use, so a lost one is not sent again.
*/
class load_exchange final : public kernel_service
{
public:
    static constexpr const char* name = "load_exchange";

    load_exchange(process_core& core, fleet_state& fleet,
                  state_follower& follower);

    result<void> start() override;
    void stop() override;

    /** The relays that this host knows of, over all zones; itself if it is
        one. */
    std::vector<std::string> relays();

private:
    /** Who was asked with a report, and when. */
    struct sent_report
    {
        std::string host;
        time_point at{};
    };

    /** Another zone and whom to tell there. */
    struct other_zone
    {
        relay_selector line;
        /** The relay that answered last. */
        std::string relay;
    };

    void receive(boost::asio::yield_context yield);
    void exchange(boost::asio::yield_context yield);
    void follow_roster();
    void report();
    void report_to_zones();

    void take(const sharing_message& message,
              const boost::asio::ip::udp::endpoint& from);
    void take_host_report(const sharing_message& message,
                          const boost::asio::ip::udp::endpoint& from);
    void take_host_answer(const sharing_message& message,
                          const boost::asio::ip::udp::endpoint& from);
    void take_zone_report(const sharing_message& message,
                          const boost::asio::ip::udp::endpoint& from);
    void take_zone_answer(const sharing_message& message,
                          const boost::asio::ip::udp::endpoint& from);
    std::optional<sent_report> report_answered(const sharing_message& message);

    void apply(const aggregated_loads& others);
    void apply_part(const load_part& part);
    aggregated_loads own_loads() const;
    aggregated_loads others_of(const std::string& host);

    void send_report(sharing_message::kind what, const aggregated_loads& loads,
                     const std::string& host);
    void send(sharing_message::kind what, std::uint64_t number,
              const aggregated_loads& loads,
              const boost::asio::ip::udp::endpoint& to);
    std::chrono::milliseconds period() const;

    process_core& core_;
    fleet_state& fleet_;
    state_follower& follower_;
    boost::asio::ip::udp::socket socket_;
    relay_selector line_;
    std::map<std::string, other_zone> zones_;
    load_aggregator aggregator_;
    std::uint64_t last_number_ = 0;
    /** Reports that may still be answered, by number. */
    std::map<std::uint64_t, sent_report> unanswered_;
    /** Empty for this host itself. */
    std::string followed_;
    bool was_relay_ = false;
    /** Of the hosts' rows that the lines were made from. */
    std::uint64_t roster_digest_ = 0;
    time_point zones_told_at_{};
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
