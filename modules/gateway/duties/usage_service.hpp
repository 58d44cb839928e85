#ifndef HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_SERVICE_HPP
#define HIBISCUSFERRY_GATEWAY_DUTIES_USAGE_SERVICE_HPP

#include "gateway/duties/duty_caller.hpp"
#include "gateway/duties/usage_recorder.hpp"
#include "gateway/duties/usage_reporter.hpp"
#include "gateway/sharing/datagram_channel.hpp"
#include <map>
#include <set>

namespace hibiscusferry
{

/** Counts the requests of workspaces and has one host report them for the
    fleet.

    Each host sends its counts to the relay of its availability zone, which
    passes them on to the holder of the authority. The holder acknowledges them,
    merges the counts of all hosts and reports them window by window. Counts are
    cumulative and are sent until their window is recorded, so that any message
    may be lost and any host may become the holder. */
class usage_service final : public kernel_service,
                            public usage_recorder,
                            private usage_reporter::source
{
public:
    static constexpr const char* name = "usage_service";

    /** The services that it uses; all must outlive it. */
    struct dependencies
    {
        process_core& core;
        fleet_state& fleet;
        state_follower& follower;
        load_exchange& exchange;
        datagram_channel& datagrams;
        table_store& store;
        const fleet_authority& authority;
        const duty_protocol& protocol;
    };

    /** @param settings  must report usage */
    usage_service(const dependencies& services, const duty_settings& settings,
                  duty_caller& caller);

    result<void> start() override;
    void drain(std::function<void()> finished) override;
    void stop() override;

    void record_start(const std::string& workspace, time_point at) override;

private:
    std::size_t missing_hosts(std::uint64_t window) const override;
    workspace_counts merge(std::uint64_t window) const override;

    /** Sends the counts that are due. */
    void send_counts(bool is_stopping);
    std::chrono::milliseconds report_period() const;
    usage_host_report make_report(std::uint64_t window,
                                  const workspace_counts& counts,
                                  fleet_time time) const;
    void pass_on(usage_host_report report);
    bool receive(std::string_view bytes);
    void receive_report(usage_host_report report);
    void receive_acknowledgement(const usage_acknowledgement& message);
    void acknowledge(const usage_host_report& report);
    bool is_collector() const;
    /** Whether the process has just been paused. */
    bool is_lagging() const;
    void synchronize_collector();

    void report_loop(boost::asio::yield_context yield);
    usage_reporter::situation situation() const;
    void perform(const usage_reporter::step& next,
                 boost::asio::yield_context yield);
    void send_body(const usage_reporter::step& next,
                   boost::asio::yield_context yield);

    dependencies services_;
    const duty_settings settings_;
    duty_caller& caller_;
    std::uint64_t incarnation_;
    fleet_clock clock_;
    usage_counter counter_;
    usage_collector collector_;
    usage_reporter reporter_;
    std::uint64_t last_number_ = 0;
    /** When reports that await an acknowledgement were sent, by number. */
    std::map<std::uint64_t, time_point> sent_reports_;
    time_point sent_at_{};
    /** Ended windows of which the final counts were sent. */
    std::map<std::uint64_t, time_point> final_sent_at_;
    time_point ticked_at_{};
    time_point lagged_until_{};
    std::uint64_t era_ = 0;
    /** When this process noticed the present era; none in the first one. */
    std::optional<time_point> era_began_at_;
    bool is_stopping_ = false;
};

} // namespace hibiscusferry

#endif
